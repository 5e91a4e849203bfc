package main

import (
	"fmt"
	"os"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(w *world, trouble bool) (int, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab-2 CASE RECORD")
		return failed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-lab-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w, err := newWorld(dir, r)
	if err == nil {
		defer w.close()
		var result int
		if result, err = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0"); err == nil {
			r.add("result %d", result)
			return result
		}
	}
	r.add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return failed
}
