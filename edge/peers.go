package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// exchangeInterval is the interval at which a node exchanges messages with its hub.
	exchangeInterval = 100 * time.Millisecond
	// exchangeTimeout bounds an exchange; after it another peer replaces the hub.
	exchangeTimeout = 400 * time.Millisecond
	// peerTimeout bounds the time a peer may take to send or read a message.
	peerTimeout = 5 * time.Second
	// fetchTimeout bounds the transfer of a configuration, and fetchHedgeDelay is how long it may
	// take before it is requested from another peer as well; normally it takes milliseconds.
	fetchTimeout    = time.Second
	fetchHedgeDelay = 250 * time.Millisecond
	// peerIdleTimeout closes connections to nodes that are no longer called.
	peerIdleTimeout = 30 * time.Second
	// connectionsPerPeer is the number of connections kept to each peer; a configuration may be
	// fetched during an exchange.
	connectionsPerPeer = 2
	// maxExchangeBytes bounds the size of a peer's message, maxConfigBytes that of a configuration.
	maxExchangeBytes = 4 << 20
	maxConfigBytes   = 16 << 20

	pathExchange = "/v1/exchange"
	pathConfig   = "/v1/config"
	pathUsage    = "/v1/usage"
)

var errNoSender = errors.New("message without sender name or address")

// peers exchanges messages with the other nodes.
type peers struct {
	edge    *Edge
	client  *http.Client
	wakeups chan struct{}
}

func newPeers(e *Edge) *peers {
	return &peers{
		edge: e, wakeups: make(chan struct{}, 1),
		client: netopt.Client(exchangeTimeout, peerIdleTimeout, connectionsPerPeer),
	}
}

// wake triggers the next exchange at once.
func (p *peers) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// run exchanges messages periodically until ctx is done.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wakeups:
		}
		p.startExchanges(ctx)
	}
}

// startExchanges starts an exchange with each peer that is due and has none under way.
func (p *peers) startExchanges(ctx context.Context) {
	p.edge.control.post(ctx, func(now time.Time) {
		for _, peer := range p.edge.control.exchangeTargets(now) {
			if peer.callInFlight {
				continue
			}
			peer.callInFlight, peer.calledAt = true, now
			message := p.edge.control.buildMessage(peer, now)
			go p.exchange(ctx, peer, peer.address, message, now)
		}
	})
}

// exchange sends a message to a peer and applies its reply.
func (p *peers) exchange(ctx context.Context, peer *peerState, address string, message *api.EdgeExchange, sentAt time.Time) {
	answer, err := p.send(ctx, address, message)
	p.edge.control.post(ctx, func(now time.Time) {
		peer.callInFlight = false
		if err != nil {
			peer.callFailed(errors.Is(err, syscall.ECONNREFUSED), now)
			return
		}
		p.edge.control.receiveReply(answer, sentAt, now)
	})
}

func (p *peers) send(ctx context.Context, address string, message *api.EdgeExchange) (*api.EdgeExchange, error) {
	body, err := encodeMessage(message)
	if err != nil {
		p.edge.logger.Error().Err(err).Msg("peer message not encoded")
		return nil, err
	}
	raw, err := p.call(ctx, http.MethodPost, address, pathExchange, body, exchangeTimeout, maxExchangeBytes)
	if err != nil {
		p.edge.metrics.peerFailures.Inc()
		return nil, err
	}
	return p.decode(raw, address)
}

// decode decodes and checks a peer's message.
func (p *peers) decode(raw []byte, from string) (*api.EdgeExchange, error) {
	var message api.EdgeExchange
	err := decodeMessage(raw, &message)
	if err == nil && (message.Node == "" || message.Address == "") {
		err = errNoSender
	}
	if err != nil {
		p.edge.logger.Warn().Err(err).Str("from", from).Int("bytes", len(raw)).Msg("invalid peer message ignored")
		return nil, err
	}
	return &message, nil
}

// serveExchange applies a peer's message and replies with this node's.
func (p *peers) serveExchange(w http.ResponseWriter, r *http.Request) {
	reservation := p.edge.account.OpenShared("peers")
	defer reservation.Release()
	raw, err := reservation.ReadAll(r.Context(), r.Body, r.ContentLength, maxExchangeBytes, exchangeTimeout)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	message, err := p.decode(raw, r.RemoteAddr)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := query(r.Context(), p.edge.control, func(now time.Time) *api.EdgeExchange {
		peer := p.edge.control.receive(message, now)
		if peer == nil {
			return nil
		}
		return p.edge.control.buildMessage(peer, now)
	})
	switch {
	case !ok:
	case answer == nil:
		w.WriteHeader(http.StatusConflict)
	default:
		p.writeMessage(w, message.Node, answer)
	}
}

// writeMessage sends a reply to a peer.
func (p *peers) writeMessage(w http.ResponseWriter, to string, answer any) {
	body, err := encodeMessage(answer)
	if err != nil {
		p.edge.logger.Error().Err(err).Str("peer", to).Msg("peer reply not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	if _, err := w.Write(body); err != nil {
		p.edge.logger.Warn().Err(err).Str("peer", to).Msg("peer reply not sent")
	}
}

// fetchUsage fetches the usage counts of the cells from their hubs, for the usage reports.
func (p *peers) fetchUsage(addresses []string) {
	for _, address := range addresses {
		go func() {
			raw, err := p.call(p.edge.ctx, http.MethodGet, address, pathUsage, nil, exchangeTimeout, maxExchangeBytes)
			var counts map[string]usage.Windows
			if err == nil {
				err = decodeMessage(raw, &counts)
			}
			if err != nil {
				p.edge.logger.Warn().Err(err).Str("hub", address).Msg("usage counts not fetched from hub")
				return
			}
			p.edge.mergeUsage(counts)
		}()
	}
}

// fetchConfig fetches the configuration of a peer; onDone runs in the control loop.
func (p *peers) fetchConfig(address string, onDone func()) {
	go func() {
		ctx := p.edge.ctx
		raw, err := p.call(ctx, http.MethodGet, address, pathConfig, nil, fetchTimeout, maxConfigBytes)
		if err != nil {
			p.edge.logger.Warn().Err(err).Msg("configuration not fetched from peer")
		}
		source := configSource{origin: address, offset: -1, readAt: p.edge.clock.monotonic()}
		p.edge.control.post(ctx, func(now time.Time) {
			onDone()
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
	raw, err := memory.ReadAtMost(response.Body, limit)
	if err != nil {
		return nil, fmt.Errorf("call %s of peer %s: %w", path, address, err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		return nil, fmt.Errorf("call %s of peer %s: status %d", path, address, response.StatusCode)
	}
	return raw, nil
}

// routes returns the handler for requests of other nodes.
func (p *peers) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathExchange, p.serveExchange)
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, r *http.Request) {
		raw, ok := query(r.Context(), p.edge.control, func(time.Time) []byte { return p.edge.control.rawConfig })
		switch {
		case !ok:
		case raw == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			_, _ = w.Write(raw)
		}
	})
	mux.HandleFunc("GET "+pathUsage, func(w http.ResponseWriter, r *http.Request) {
		p.writeMessage(w, r.RemoteAddr, p.edge.control.allUsage(usageWindowsFetched))
	})
	return mux
}
