package proxy

import "flag"

// Property tests use the same inputs in each run unless -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }
