package connguard

import (
	"context"
	"io"
)

// firstBodyBytes is the first reservation for a body of unknown length.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request of c: length bytes, or up to its end if length is negative.
// All memory is reserved before it is read. limit is the largest body in bytes, 0 for any. The
// error is ErrBodyTooLarge, an *Error or one of src.
func ReadBody(ctx context.Context, c *Conn, src io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLarge
	}
	if length < 0 {
		return readGrowing(ctx, c, src, limit)
	}
	if err := c.Reserve(ctx, length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(src, body); err != nil {
		return nil, c.cause(err)
	}
	return body, nil
}

// cause returns why a read failed: its error, or the eviction of the connection.
func (c *Conn) cause(err error) error {
	if c != nil {
		if evicted := c.evicted.Load(); evicted != nil {
			return evicted
		}
	}
	return err
}

// readGrowing reads a body of unknown length. Its buffer grows by doubling.
func readGrowing(ctx context.Context, c *Conn, src io.Reader, limit int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if err := c.Reserve(ctx, size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, c.cause(err)
		case len(body) < cap(body):
			continue
		}
		larger := 2 * size
		if limit > 0 {
			larger = min(larger, limit+1)
		}
		if err := c.Reserve(ctx, larger); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, larger), body...)
		c.release(size)
		size = larger
	}
}
