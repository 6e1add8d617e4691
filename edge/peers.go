package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
)

const (
	// exchangeEvery is the pace at which a node tells its peers.
	exchangeEvery = 100 * time.Millisecond
	// exchangeFanout bounds the peers that are told at once, so that a node's cost does not
	// grow with the fleet; with more of them each is told in turn.
	exchangeFanout = 6
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration, and fetchPatience is how long it may
	// take before another peer is asked as well; it takes milliseconds where all is well.
	fetchTimeout  = time.Second
	fetchPatience = 250 * time.Millisecond
	// peerIdleTimeout closes the connection to a node that is not told any more.
	peerIdleTimeout = 30 * time.Second
	// maxExchangeBytes bounds a peer's message, maxConfigBytes a configuration.
	maxExchangeBytes = 4 << 20
	maxConfigBytes   = 16 << 20

	pathExchange = "/v1/exchange"
	pathConfig   = "/v1/config"
)

var errNoSender = errors.New("the message names no sender")

// peers exchanges messages with the other nodes.
type peers struct {
	edge   *Edge
	client *http.Client
	wakeUp chan struct{}
	turn   int
}

func newPeers(e *Edge) *peers {
	return &peers{
		edge: e, wakeUp: make(chan struct{}, 1),
		client: netopt.Client(exchangeTimeout, peerIdleTimeout, 1),
	}
}

// wake makes the next exchange come at once.
func (p *peers) wake() {
	select {
	case p.wakeUp <- struct{}{}:
	default:
	}
}

// run tells the peers until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wakeUp:
		}
		p.tellAll(ctx)
	}
}

// cycle is the time in which a node tells each of its peers once.
func cycle(peers int) time.Duration {
	rounds := (peers + exchangeFanout - 1) / exchangeFanout
	return time.Duration(max(1, rounds)) * exchangeEvery
}

// tellAll sends this node's message to the peers whose turn it is.
func (p *peers) tellAll(ctx context.Context) {
	type round struct {
		message   *api.EdgeExchange
		addresses []string
	}
	r, ok := ask(ctx, p.edge.control, func(now time.Time) round {
		r := round{message: p.edge.control.exchange(now)}
		for _, peer := range p.edge.control.peers {
			r.addresses = append(r.addresses, peer.address)
		}
		return r
	})
	if !ok {
		return
	}
	body, err := json.Marshal(r.message)
	if err != nil {
		p.edge.logger.Error().Err(err).Msg("message to peers not encoded")
		return
	}
	for _, address := range p.chosen(r.addresses) {
		go p.tell(ctx, address, body)
	}
}

// chosen returns the addresses whose turn it is.
func (p *peers) chosen(addresses []string) []string {
	if len(addresses) <= exchangeFanout {
		return addresses
	}
	chosen := make([]string, 0, exchangeFanout)
	for range exchangeFanout {
		p.turn++
		chosen = append(chosen, addresses[p.turn%len(addresses)])
	}
	return chosen
}

func (p *peers) tell(ctx context.Context, address string, body []byte) {
	raw, err := p.call(ctx, http.MethodPost, address, pathExchange, body, exchangeTimeout, maxExchangeBytes)
	if err != nil {
		p.edge.metrics.peerFailures.Inc()
		return
	}
	if len(raw) == 0 {
		return
	}
	if message := p.decode(raw, address); message != nil {
		p.edge.control.post(ctx, func(now time.Time) { p.edge.control.heard(message, now) })
	}
}

// decode returns a peer's message; nil if it is none.
func (p *peers) decode(raw []byte, from string) *api.EdgeExchange {
	var message api.EdgeExchange
	err := json.Unmarshal(raw, &message)
	if err == nil && message.Node == "" {
		err = errNoSender
	}
	if err != nil {
		p.edge.logger.Warn().Err(err).Str("from", from).Msg("message of a peer left out")
		return nil
	}
	return &message
}

// serveExchange takes a peer's message. A peer that lacks what this node knows is answered
// with all of it; the others hear this node when it is their turn.
func (p *peers) serveExchange(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxExchangeBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	message := p.decode(raw, r.RemoteAddr)
	if message == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := ask(r.Context(), p.edge.control, func(now time.Time) *api.EdgeExchange {
		behind := p.edge.control.behind(message)
		p.edge.control.heard(message, now)
		if !behind {
			return nil
		}
		return p.edge.control.fullExchange(now)
	})
	switch {
	case !ok:
	case answer == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			p.edge.logger.Warn().Err(err).Str("peer", message.Node).Msg("answer to a peer not sent")
		}
	}
}

// fetchConfig asks a peer for its configuration; done runs in the control loop.
func (p *peers) fetchConfig(address string, done func()) {
	go func() {
		ctx := p.edge.ctx
		raw, err := p.call(ctx, http.MethodGet, address, pathConfig, nil, fetchTimeout, maxConfigBytes)
		if err != nil {
			p.edge.logger.Warn().Err(err).Msg("configuration of a peer not fetched")
		}
		source := configSource{from: address, offset: -1, readAt: p.edge.clock.steady()}
		p.edge.control.post(ctx, func(now time.Time) {
			done()
			if err == nil {
				p.edge.control.applyConfig(raw, source, now)
			}
		})
	}()
}

func (p *peers) call(ctx context.Context, method, address, path string, body []byte, timeout time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %s of peer %s: %w", path, address, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call %s of peer %s: %w", path, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("call %s of peer %s: %w", path, address, err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return nil, fmt.Errorf("call %s of peer %s: status %d", path, address, response.StatusCode)
	}
	return raw, nil
}

// routes serves the other nodes.
func (p *peers) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathExchange, p.serveExchange)
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, r *http.Request) {
		raw, ok := ask(r.Context(), p.edge.control, func(time.Time) []byte { return p.edge.control.rawConfig })
		switch {
		case !ok:
		case raw == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			_, _ = w.Write(raw)
		}
	})
	return mux
}
