package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// exchangeEvery is the pace at which a node tells its hub.
	exchangeEvery = 100 * time.Millisecond
	// exchangeTimeout bounds an exchange; after it another peer takes the hub's place.
	exchangeTimeout = 400 * time.Millisecond
	// peerTimeout bounds the time that a peer may take to send or read a message.
	peerTimeout = 5 * time.Second
	// fetchTimeout bounds the transfer of a configuration, and fetchPatience is how long it may
	// take before another peer is asked as well; it takes milliseconds where all is well.
	fetchTimeout  = time.Second
	fetchPatience = 250 * time.Millisecond
	// peerIdleTimeout closes the connection to a node that is not told any more.
	peerIdleTimeout = 30 * time.Second
	// peerConnections are kept to each peer; a configuration is fetched beside the exchanges.
	peerConnections = 2
	// maxExchangeBytes bounds a peer's message, maxConfigBytes a configuration.
	maxExchangeBytes = 4 << 20
	maxConfigBytes   = 16 << 20

	pathExchange = "/v1/exchange"
	pathConfig   = "/v1/config"
	pathUsage    = "/v1/usage"
)

var errNoSender = errors.New("the message names no sender or no address")

// peers exchanges messages with the other nodes.
type peers struct {
	edge   *Edge
	client *http.Client
	wakeUp chan struct{}
}

func newPeers(e *Edge) *peers {
	return &peers{
		edge: e, wakeUp: make(chan struct{}, 1),
		client: netopt.Client(exchangeTimeout, peerIdleTimeout, peerConnections),
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
		p.tell(ctx)
	}
}

// tell exchanges messages with the peers whose turn it is.
func (p *peers) tell(ctx context.Context) {
	p.edge.control.post(ctx, func(now time.Time) {
		for _, peer := range p.edge.control.partners(now) {
			if peer.calling {
				continue
			}
			peer.calling, peer.askedAt = true, now
			message := p.edge.control.messageTo(peer, now)
			go p.exchange(ctx, peer, peer.address, message, now)
		}
	})
}

// exchange sends a message to a peer and takes its answer.
func (p *peers) exchange(ctx context.Context, peer *peerState, address string, message *api.EdgeExchange, sentAt time.Time) {
	answer, err := p.send(ctx, address, message)
	p.edge.control.post(ctx, func(now time.Time) {
		peer.calling = false
		if err != nil {
			peer.failedAt = now
			return
		}
		p.edge.control.answered(answer, sentAt, now)
	})
}

func (p *peers) send(ctx context.Context, address string, message *api.EdgeExchange) (*api.EdgeExchange, error) {
	body, err := encodeMessage(message)
	if err != nil {
		p.edge.logger.Error().Err(err).Msg("message to a peer not encoded")
		return nil, err
	}
	raw, err := p.call(ctx, http.MethodPost, address, pathExchange, body, exchangeTimeout, maxExchangeBytes)
	if err != nil {
		p.edge.metrics.peerFailures.Inc()
		return nil, err
	}
	return p.decode(raw, address)
}

// decode returns a peer's message.
func (p *peers) decode(raw []byte, from string) (*api.EdgeExchange, error) {
	var message api.EdgeExchange
	err := decodeMessage(raw, &message)
	if err == nil && (message.Node == "" || message.Address == "") {
		err = errNoSender
	}
	if err != nil {
		p.edge.logger.Warn().Err(err).Str("from", from).Int("bytes", len(raw)).Msg("message of a peer left out")
		return nil, err
	}
	return &message, nil
}

// serveExchange takes a peer's message and answers with this node's.
func (p *peers) serveExchange(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxExchangeBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	message, err := p.decode(raw, r.RemoteAddr)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := ask(r.Context(), p.edge.control, func(now time.Time) *api.EdgeExchange {
		peer := p.edge.control.heard(message, now)
		if peer == nil {
			return nil
		}
		return p.edge.control.messageTo(peer, now)
	})
	switch {
	case !ok:
	case answer == nil:
		w.WriteHeader(http.StatusConflict)
	default:
		p.write(w, message.Node, answer)
	}
}

// write sends an answer to a peer.
func (p *peers) write(w http.ResponseWriter, to string, answer any) {
	body, err := encodeMessage(answer)
	if err != nil {
		p.edge.logger.Error().Err(err).Str("peer", to).Msg("answer to a peer not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	if _, err := w.Write(body); err != nil {
		p.edge.logger.Warn().Err(err).Str("peer", to).Msg("answer to a peer not sent")
	}
}

// fetchUsage asks the hubs for the counts of their cells; the holder of the duties reports them.
func (p *peers) fetchUsage(addresses []string) {
	for _, address := range addresses {
		go func() {
			raw, err := p.call(p.edge.ctx, http.MethodGet, address, pathUsage, nil, exchangeTimeout, maxExchangeBytes)
			var counts map[string]usage.Windows
			if err == nil {
				err = decodeMessage(raw, &counts)
			}
			if err != nil {
				p.edge.logger.Warn().Err(err).Str("hub", address).Msg("usage of a cell not fetched")
				return
			}
			p.edge.mergeUsage(counts)
		}()
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
	mux.HandleFunc("GET "+pathUsage, func(w http.ResponseWriter, r *http.Request) {
		p.write(w, r.RemoteAddr, p.edge.control.allUsage(usageWindowsFetched))
	})
	return mux
}
