// Command nutmeghoistd is the node that runs on each target host.
package main

func main() {}
