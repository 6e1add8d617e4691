//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memory returns the resident memory of a node's process, in KiB: all of it, and that without files.
func (n *node) memory() (all, anonymous int) {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return 0, 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			all = value
		case "RssAnon:":
			anonymous = value
		}
	}
	return all, anonymous
}

const memoryMB = 284

// watchMemory acts as the platform does: it kills a process that exceeds its memory.
func (w *world) watchMemory(n *node) {
	peak, noted := 0, time.Now()
	for !w.ended.Load() {
		time.Sleep(20 * time.Millisecond)
		all, anonymous := n.memory()
		peak = max(peak, anonymous)
		if time.Since(noted) > 500*time.Millisecond {
			noted = time.Now()
			w.note("memory of %s: %d KiB, without files %d KiB, peak %d KiB", n.name, all, anonymous, peak)
		}
		if anonymous > memoryMB<<10 {
			w.lock.Lock()
			w.broken = append(w.broken, fmt.Sprintf("the process of %s exceeds the %d MB (%d KiB) of its machine: %d KiB, and is killed", n.name, memoryMB, memoryMB<<10, anonymous))
			w.lock.Unlock()
			w.note("the process of %s exceeds its memory: %d KiB; the platform kills it", n.name, anonymous)
			n.signal(syscall.SIGKILL)
			return
		}
	}
}

// tinyFields returns distinct empty header fields of a total size.
func tinyFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fields.WriteByte(letters[i%len(letters)])
		if rest := i / len(letters); rest > 0 {
			fields.WriteByte(letters[(rest-1)%len(letters)])
			if rest := (rest - 1) / len(letters); rest > 0 {
				fields.WriteByte(letters[(rest-1)%len(letters)])
			}
		}
		fields.WriteString(":\n")
	}
	return fields.String()
}

const (
	// crowdTime is how long the clients that we don't control go on.
	crowdTime = 30 * time.Second
	// headClients send headBytes of a head and stop; a page's limit on heads is 16,384 bytes.
	headClients = 1480
	headBytes   = 4090
	// bodyClients send bodyChunks chunks of chunkBytes and a part of one more, and stop.
	bodyClients = 80
	bodyChunks  = 30
	chunkBytes  = 64 << 10
)

// crowd starts clients that connect to a machine again whenever it has closed their connection.
func (w *world) crowd(n *node, size int, end time.Time, pause time.Duration, opened *atomic.Int64, write func(conn net.Conn) error) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for range size {
		group.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", n.frontend(), 2*time.Second)
				if err != nil {
					time.Sleep(pause)
					continue
				}
				opened.Add(1)
				_ = conn.SetDeadline(end)
				if write(conn) == nil {
					_, _ = io.Copy(io.Discard, conn) // Until the node closes the connection.
				}
				_ = conn.Close()
				time.Sleep(pause)
			}
		})
	}
	return group
}

// playCrowd is a crowd of clients that we don't control at one machine, whose heads and bodies stop short of
// their end.
func playCrowd(w *world, trouble bool) error {
	n := w.nodes[0]
	go w.watchMemory(n)
	time.Sleep(12 * time.Second)
	if !trouble {
		time.Sleep(crowdTime)
		return nil
	}
	head := ("POST /trigger/7 HTTP/1.1\r\nHost: " + host + "\r\n" + tinyFields(headBytes))[:headBytes]
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	w.note("DISRUPTION: at %s %d clients send %d bytes of a head that doesn't end, and %d send a chunked body that stops just short of its end",
		n.name, headClients, headBytes, bodyClients)
	var heads, bodies atomic.Int64
	end := time.Now().Add(crowdTime)
	first := w.crowd(n, headClients, end, 50*time.Millisecond, &heads, func(conn net.Conn) error {
		_, err := conn.Write([]byte(head))
		return err
	})
	var number atomic.Int64
	second := w.crowd(n, bodyClients, end, time.Second, &bodies, func(conn net.Conn) error {
		i := number.Add(1)
		_, err := fmt.Fprintf(conn, "POST /trigger/7 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h%d\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			host, i, keys[int(i)%len(keys)])
		for sent := 0; err == nil && sent < bodyChunks; sent++ {
			_, err = conn.Write([]byte(chunk))
		}
		if err == nil {
			_, err = conn.Write([]byte("ffff\r\nxxx"))
		}
		return err
	})
	first.Wait()
	second.Wait()
	w.note("the clients have gone; they had opened %d connections for heads and %d for bodies", heads.Load(), bodies.Load())
	time.Sleep(3 * time.Second)
	return nil
}
