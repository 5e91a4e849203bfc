// Package transport compares transports for calls between two nodes. It holds
// benchmarks only; docs/decisions/0001-transport.md has the conclusion.
package transport
