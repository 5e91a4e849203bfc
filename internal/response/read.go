package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
)

// Read reads a response to a request with the given method, like http.ReadResponse, but
// only one whose head keeps to the grammar; others get ErrMalformed, as do trailer
// sections when the body is read. Bytes after the body stay in r. The trailer fields are
// dropped.
func Read(r *bufio.Reader, method string) (*http.Response, error) {
	head, err := readHead(r)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), &http.Request{Method: method})
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %s", ErrMalformed, err)
	case resp.Body == http.NoBody:
	case len(resp.TransferEncoding) > 0:
		resp.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), r: r})
	case resp.ContentLength >= 0:
		resp.Body = io.NopCloser(&sizedBody{io.LimitedReader{R: r, N: resp.ContentLength}})
	default:
		resp.Body = io.NopCloser(r)
	}
	return resp, nil
}

func readHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	err := readLines(r, &headCheck{}, func(part []byte) { head = append(head, part...) })
	return head, err
}

// readLines reads and checks the lines of a head or a trailer section.
func readLines(r *bufio.Reader, check *headCheck, use func([]byte)) error {
	for {
		part, readErr := r.ReadSlice('\n')
		_, ended, err := check.feed(part)
		switch {
		case err != nil:
			return err
		case errors.Is(readErr, io.EOF):
			return io.ErrUnexpectedEOF
		case readErr != nil && !errors.Is(readErr, bufio.ErrBufferFull):
			return readErr
		}
		use(part)
		if ended {
			return nil
		}
	}
}

// sizedBody is a body of an announced length.
type sizedBody struct{ io.LimitedReader }

func (b *sizedBody) Read(p []byte) (int, error) {
	n, err := b.LimitedReader.Read(p)
	if errors.Is(err, io.EOF) && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks with a trailer section.
type chunkedBody struct {
	chunks io.Reader
	r      *bufio.Reader
	err    error // of the last read
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.chunks.Read(p)
	if errors.Is(b.err, io.EOF) {
		if bad := readLines(b.r, &headCheck{isTrailer: true}, func([]byte) {}); bad != nil {
			b.err = bad
		}
	}
	return n, b.err
}
