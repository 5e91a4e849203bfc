package header

import "net"

const (
	// HeadBytes is the initial size of the buffer for the head of a message.
	HeadBytes = 512
	// MinSeparateBody is the size in bytes from which a body is written beside its head
	// instead of being copied into one buffer with it.
	MinSeparateBody = 4 << 10
)

// Write writes the head and the body of a message, in one system call where the
// connection allows it. A large body is not copied.
func Write(c net.Conn, head, body []byte) error {
	if len(body) < MinSeparateBody {
		_, err := c.Write(append(head, body...))
		return err
	}
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(c)
	return err
}
