package memory

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"
)

const (
	// firstBuffer is the size in bytes of the first buffer for a body of unknown size, and wholeBuffer the
	// stated size up to which a body gets its whole buffer at once.
	firstBuffer = 4 << 10
	wholeBuffer = 64 << 10
)

// Grow reserves more bytes; it waits for room for up to wait, and as long as ctx lasts.
func (r *Reservation) Grow(ctx context.Context, bytes int64, wait time.Duration) error {
	freed, err := r.TryGrow(bytes, time.Now())
	if err == nil || freed == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-freed:
		case <-ctx.Done():
			return ErrFull
		case <-timer.C:
			return ErrFull
		}
		if freed, err = r.TryGrow(bytes, time.Now()); err == nil || freed == nil {
			return err
		}
	}
}

// ReadAll reads to the end of a body of a stated size, or of unknown size if that is negative, and of limit
// bytes at most. It reserves its buffer before that grows, and waits for room for up to wait. The bytes of an
// incomplete body are not returned, but stay reserved.
func (r *Reservation) ReadAll(ctx context.Context, body io.Reader, stated, limit int64, wait time.Duration) ([]byte, error) {
	if stated > limit {
		return nil, ErrTooLarge
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			held := int64(cap(buffer))
			size := nextBuffer(held, stated, limit)
			if err := r.Grow(ctx, size, wait); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
			r.Shrink(held)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// ReadAtMost reads to the end of a body of limit bytes at most, without an account.
func ReadAtMost(body io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(raw)) > limit {
		return nil, ErrTooLarge
	}
	return raw, err
}

// DecodeJSON decodes a body of limit bytes at most, without an account.
func DecodeJSON(body io.Reader, limit int64, into any) error {
	raw, err := ReadAtMost(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// nextBuffer returns the size of the buffer that follows a full one of held bytes; it is larger. A byte more than
// the body lets a read find its end.
func nextBuffer(held, stated, limit int64) int64 {
	switch {
	case held == 0 && stated >= 0:
		return min(stated, wholeBuffer) + 1
	case held == 0:
		return firstBuffer
	case stated > held:
		return min(2*held, stated+1)
	}
	return min(2*held, limit+1)
}
