package main

import (
	"net/netip"
	"syscall"
)

// silentAddress makes an address from which nothing answers, like that of a machine that is
// gone: the queue of its new connections is full, and nobody takes them from it.
func silentAddress(at netip.AddrPort) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	address := &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	if err := syscall.Bind(fd, address); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 2 {
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			return err
		}
		if err := syscall.Connect(c, address); err != nil && err != syscall.EINPROGRESS {
			return err
		}
	}
	return nil
}
