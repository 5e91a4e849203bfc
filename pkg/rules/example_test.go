package rules_test

import (
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// A program can check a rules file before it submits it. All findings are
// reported together.
func ExampleValidate() {
	text := []byte(`route GET /menus to orderdesk tray-2 from tray-1 by 2026-12-05T06:00:10Z # Oyuna: new menu
route GET menus to orderdesk tray-1 timeout 3m # Oyuna: old path
`)
	accepted := time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)
	_, findings := rules.Validate("mesh.rules", text, rules.CheckOptions{
		Now:        accepted,
		HasTargets: func(v mesh.ServiceVersion) bool { return v.Version != "tray-2" },
	})
	for _, f := range findings {
		fmt.Println(f)
	}
	// Output:
	// mesh.rules:1:31: route GET /menus: no target of orderdesk version tray-2 has announced itself (start its targets first, or correct the version)
	// mesh.rules:1:53: route GET /menus: move cannot be complete by 2026-12-05T06:00:10Z (the earliest possible time is 2026-12-05T06:00:30Z, 30s after acceptance)
	// mesh.rules:2:11: prefix "menus" does not start with a slash (write /menus)
	// mesh.rules:2:45: timeout 3m is out of range (write a duration from 10ms to 1m0s)
}

// Withdraw edits the line of the move and leaves the rest of the text unchanged.
func ExampleWithdraw() {
	text := []byte("route GET /menus to orderdesk tray-2 from tray-1 by 2026-12-05T06:00:00Z timeout 1s # Oyuna: new menu\n")
	text, err := rules.Withdraw(text, "GET /menus")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s", text)
	// Output: route GET /menus to orderdesk tray-1 timeout 1s # Oyuna: new menu
}
