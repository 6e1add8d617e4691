package relay

import (
	"errors"
	"fmt"
	"io"
)

const (
	// maxHeadBytes bounds the heads of an answer and of its interim ones together.
	maxHeadBytes = 64 << 10
	// unlimited disables the bound.
	unlimited = -1
)

// errHeadTooLarge means that the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("head of answer exceeds %d bytes", maxHeadBytes)

// errFolded means that a line of a head begins with a blank. net/http joins it with the line before, whatever it
// names.
var errFolded = errors.New("line of the head begins with a blank")

// foldDetector finds folded lines in the bytes of a head; it ignores the bytes that follow the head.
type foldDetector struct{ atLineStart, ended bool }

// scan returns errFolded if a line of the head begins with a blank.
func (d *foldDetector) scan(p []byte) error {
	for _, b := range p {
		switch {
		case d.ended:
			return nil
		case b == '\n':
			d.atLineStart, d.ended = true, d.atLineStart
		case d.atLineStart && (b == ' ' || b == '\t'):
			return errFolded
		case b != '\r':
			d.atLineStart = false
		}
	}
	return nil
}

// beginHead prepares the connection for the next head, of which some bytes may be buffered.
func (c *conn) beginHead() error {
	c.head.folds = foldDetector{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.folds.scan(buffered)
}

// headLimiter bounds and checks the bytes read from a connection while a head is parsed. It is used by
// one goroutine.
type headLimiter struct {
	reader    io.Reader
	folds     foldDetector
	remaining int
	// reserve is called for what exceeds the buffer; it may be nil.
	reserve func(bytes int) error
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.reader.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if n > 0 && l.reserve != nil && maxHeadBytes-l.remaining > readBufferBytes {
		if err := l.reserve(n); err != nil {
			return 0, err
		}
	}
	if err := l.folds.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}
