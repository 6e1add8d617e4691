package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// pathConfig is the path of the peer listener that serves the configuration.
	pathConfig = "/peer/v1/config"
	// queryFrom is the query parameter for the offset of the first missing record.
	queryFrom = "from"
	// maxConfigPeers bounds the peers that are queried in one round.
	maxConfigPeers = 3
	// configFetchTimeout bounds one query to one peer.
	configFetchTimeout = 3 * time.Second
	// isolatedAfter is how long a node stays ready without contact with the log and peers.
	// It is the time within which a patch must be in force everywhere.
	isolatedAfter = 16 * time.Second
	// maxTransferBytes bounds the response of a peer.
	maxTransferBytes = 64 << 20
	// kindConfig is the label of configuration transfers in the metric of control bytes.
	kindConfig = "config"
)

// configSources returns the sources of the configuration besides the log.
func (n *Node) configSources() control.ConfigSources {
	return control.ConfigSources{
		FromPeers:        n.configFromPeers,
		Held:             n.duties.Held,
		SnapshotInterval: n.settings.SnapshotInterval,
	}
}

// configRoute returns the route that serves the configuration to peers.
func (n *Node) configRoute() rest.Route {
	return rest.Route{
		Method:  http.MethodGet,
		Path:    pathConfig,
		Handler: peer.Authenticate(n.settings.PeerKey, n.serveConfig),
	}
}

// serveConfig responds with the records that the peer is missing, or with a snapshot if
// they are no longer retained.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get(queryFrom), 10, 64)
	if err != nil {
		refusal.InvalidField(queryFrom, "from must be an offset").Write(w, "")
		return
	}
	transfer, err := n.configTransfer(n.control.Snapshot().Config, from)
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	body, err := json.Marshal(transfer)
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
	n.metrics.CountControlBytes(kindConfig, int64(headerBytes(r.Header)), int64(len(body)+headerBytes(w.Header())))
}

// configTransfer returns what a peer is missing that has folded all records before from.
func (n *Node) configTransfer(state *config.State, from int64) (api.ConfigTransfer, error) {
	transfer := api.ConfigTransfer{Version: state.Version, Offset: state.Offset}
	if state.Offset <= from {
		return transfer, nil
	}
	if records, ok := n.feeds.Config.Since(from); ok {
		transfer.Records = records
		return transfer, nil
	}
	snapshot, err := state.Snapshot()
	transfer.Snapshot = &snapshot
	return transfer, err
}

// configOffset queries how far a node has folded the config stream.
func (n *Node) configOffset(ctx context.Context, address string) (int64, error) {
	transfer, err := n.fetchConfig(ctx, address, math.MaxInt64)
	if err == nil {
		n.control.Offer(control.PeerConfigReported{PeerAddress: address, Version: transfer.Version, Offset: transfer.Offset})
	}
	return transfer.Offset, err
}

// isolated reports whether the node has neither read the log nor received a heartbeat for
// isolatedAfter, although the host list contains other nodes. Its configuration may be
// stale without the node knowing, so the balancer should send callers elsewhere.
func (n *Node) isolated(snapshot *control.Snapshot) bool {
	lastContact := snapshot.LogReadAt
	for _, candidate := range snapshot.Peers {
		if candidate.LastSeen.After(lastContact) {
			lastContact = candidate.LastSeen
		}
	}
	return len(snapshot.Members.Nodes) > 1 && !lastContact.IsZero() && time.Since(lastContact) > isolatedAfter
}

// configFromPeers queries a few peers for a state newer than the current one, and returns
// the newest valid state, which may be the current one.
func (n *Node) configFromPeers(ctx context.Context, current *config.State) *config.State {
	newest := current
	for _, address := range n.configPeers(current) {
		transfer, err := n.fetchConfig(ctx, address, newest.Offset)
		if err == nil {
			newest, err = config.ApplyTransfer(newest, transfer)
		}
		if err != nil {
			n.logger.Warn().Err(err).Str("peer", address).Msg("failed to update configuration from peer")
		}
	}
	if newest != current {
		n.logger.Info().Int64("version", newest.Version).Int64("offset", newest.Offset).Msg("configuration updated from peers")
	}
	return newest
}

// configPeers returns the addresses of the peers to query: those whose heartbeats report
// a newer state. If there are none, a node without a configuration queries the nodes of
// the host list.
func (n *Node) configPeers(current *config.State) []string {
	snapshot := n.control.Snapshot()
	var newer, listed []string
	for _, candidate := range snapshot.Peers {
		if candidate.ConfigOffset > current.Offset {
			newer = append(newer, candidate.PeerAddress)
		}
	}
	for _, member := range snapshot.Members.Nodes {
		if member.Address != n.peerServer.Address() {
			listed = append(listed, member.Address)
		}
	}
	addresses := newer
	if len(newer) == 0 && current.Version == 0 {
		addresses = listed
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxConfigPeers)]
}

func (n *Node) fetchConfig(ctx context.Context, address string, from int64) (api.ConfigTransfer, error) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	var transfer api.ConfigTransfer
	query := url.Values{queryFrom: {strconv.FormatInt(from, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathConfig+"?"+query.Encode(), nil)
	if err != nil {
		return transfer, fmt.Errorf("fetch configuration of peer %s: %w", address, err)
	}
	request.Header.Set(peer.HeaderKey, n.settings.PeerKey)
	response, err := n.pool.Get(address).Do("fetch configuration", request)
	if err != nil {
		return transfer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return transfer, fmt.Errorf("fetch configuration of peer %s: refused with status %d", address, response.StatusCode)
	}
	if err := memory.DecodeJSON(response.Body, maxTransferBytes, &transfer); err != nil {
		return transfer, fmt.Errorf("read configuration of peer %s: %w", address, err)
	}
	return transfer, nil
}
