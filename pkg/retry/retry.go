// Package retry decides whether a call may be tried again, when, and how many
// retries a node adds to the load.
package retry
