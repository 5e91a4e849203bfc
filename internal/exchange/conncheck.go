package exchange

import "syscall"

// isUsable reports whether an idle connection is open and has no unread bytes,
// which would belong to no call.
func (t *targetConn) isUsable() bool {
	if t.r.Buffered() > 0 {
		return false
	}
	sc, ok := t.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
