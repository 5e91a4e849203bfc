package main

import (
	"fmt"
	"os"
)

// cases are the scripts' checks by name. Each returns an exit code.
var cases = make(map[string]func(caseDir string) int)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(cases[os.Args[1]](os.Args[2]))
}
