package memory

import (
	"context"
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
	buffer, size := []byte(nil), int64(firstBuffer)
	if stated >= 0 {
		size = min(stated, wholeBuffer) + 1 // The last byte lets a read find the end.
	}
	for {
		if len(buffer) == cap(buffer) {
			held := int64(cap(buffer))
			if err := r.Grow(ctx, size, wait); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
			r.Shrink(held)
			size = min(2*size, limit+1)
			if stated > int64(len(buffer)) {
				size = min(size, stated+1)
			}
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
