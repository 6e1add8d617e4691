//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headsCrowd = 2000
	// headsBytes is the size of a hostile head; the configuration's limit is 16,384.
	headsBytes   = 30_000
	headsTrouble = 12 * time.Second
)

func init() { cases["heads"] = heads }

// heads lets hostile clients send heads over the limit, of many short fields, with bodies that stop short of their end.
func heads(w *world, trouble bool) (string, bool) {
	needDescriptors(4500)
	w.store.PublishConfig([]byte(crowdConfig))
	for i := range 4 {
		id := fmt.Sprintf("i-app-%d", i)
		w.register(id, "app", serve(plainEngine(id, nil)), 6, time.Now().UnixMilli()-60_000, nil)
	}
	n := w.addNode("edge-a-1", "127.0.0.1")
	n.start()
	w.awaitReady(n)
	time.Sleep(4 * time.Second) // The node is in touch.
	w.logf("calm: peak %d MB", n.peakMemoryMB())
	var fields strings.Builder
	for i := 0; fields.Len() < headsBytes; i++ {
		fmt.Fprintf(&fields, "h%x:\r\n", i)
	}
	text := "POST /upload/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: hostile\r\nX-Deadline-Ms: 15000\r\n" + fields.String() +
		"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 4) + "0\r\n"
	stop := make(chan struct{})
	var hostile sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	if trouble {
		w.logf("%d hostile clients begin, with heads of %d bytes", headsCrowd, headsBytes)
		for range headsCrowd {
			hostile.Go(func() {
				for open := true; open; {
					status := sendHead(n.address(), text)
					mu.Lock()
					got[status]++
					mu.Unlock()
					select {
					case <-stop:
						open = false
					case <-time.After(reopenPause):
					}
				}
			})
		}
	}
	var callers sync.WaitGroup
	for i, began := 0, time.Now(); time.Since(began) < headsTrouble; i++ {
		callers.Go(func() {
			a := request{method: "GET", path: "/status/x", id: fmt.Sprintf("ordinary-%d", i), key: "key-a", deadlineMS: 1500}.do(n.address())
			w.logf("ordinary-%d: status %d, error %v; peak so far %d MB", i, a.status, a.err, n.peakMemoryMB())
		})
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	hostile.Wait()
	callers.Wait()
	peak := n.peakMemoryMB()
	w.logf("hostile clients got, by status (0 is no answer): %v", got)
	return fmt.Sprintf("peak %d MB of %d, process alive %v", peak, n.memoryMB, n.alive()), peak > n.memoryMB || !n.alive()
}

// sendHead sends a request, keeps the channel open until the node closes it, and returns the status.
func sendHead(address, text string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, reader)
	return response.StatusCode
}
