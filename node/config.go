package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// pathConfig is the path of the peer listener that gives the configuration.
	pathConfig = "/peer/v1/config"
	// queryFrom is the offset of the first record that the asker lacks.
	queryFrom = "from"
	// peersAsked bounds the peers that are asked in one go.
	peersAsked = 3
	// configFetchTimeout bounds one question to one peer.
	configFetchTimeout = 3 * time.Second
	// isolatedAfter is how long a node stays ready without the log and without peers: the
	// time within which a patch is to be in force everywhere.
	isolatedAfter = 16 * time.Second
	// maxTransferBytes bounds what a peer may give.
	maxTransferBytes = 64 << 20
	// kindConfig names the configuration in the metric of control bytes.
	kindConfig = "config"
)

// configSources returns what the configuration is followed by.
func (n *Node) configSources() control.ConfigSources {
	return control.ConfigSources{
		FromPeers:        n.configFromPeers,
		Held:             n.duties.Held,
		SnapshotInterval: n.settings.SnapshotInterval,
	}
}

// configRoute gives peers the configuration.
func (n *Node) configRoute() rest.Route {
	return rest.Route{
		Method:  http.MethodGet,
		Path:    pathConfig,
		Handler: peer.Authenticate(n.settings.PeerKey, n.giveConfig),
	}
}

// giveConfig answers with the records that the asker lacks, or with a snapshot when
// they are not kept here.
func (n *Node) giveConfig(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get(queryFrom), 10, 64)
	if err != nil {
		refusal.InvalidField(queryFrom, "from must be an offset").Write(w, "")
		return
	}
	transfer, err := n.transfer(n.control.Snapshot().Config, from)
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	answer, err := json.Marshal(transfer)
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
	n.metrics.CountControlBytes(kindConfig, int64(headerBytes(r.Header)), int64(len(answer)+headerBytes(w.Header())))
}

// transfer returns what an asker lacks that has folded all records before from.
func (n *Node) transfer(state *config.State, from int64) (api.ConfigTransfer, error) {
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

// configOffset asks a node how far it has folded the config stream.
func (n *Node) configOffset(ctx context.Context, address string) (int64, error) {
	transfer, err := n.fetchConfig(ctx, address, math.MaxInt64)
	if err == nil {
		n.control.Offer(control.PeerConfigReported{PeerAddress: address, Version: transfer.Version, Offset: transfer.Offset})
	}
	return transfer.Offset, err
}

// isolated says that the node has neither read the log nor heard of another node for
// isolatedAfter, though the host list names others. Its configuration may be old
// without its knowledge, so that the balancer should send callers elsewhere.
func (n *Node) isolated(snapshot *control.Snapshot) bool {
	latest := snapshot.LogReadAt
	for _, known := range snapshot.Peers {
		if known.LastSeen.After(latest) {
			latest = known.LastSeen
		}
	}
	return len(snapshot.Members.Nodes) > 1 && !latest.IsZero() && time.Since(latest) > isolatedAfter
}

// configFromPeers asks a few peers for a state newer than the given one, those first
// whose heartbeats say that they have one. It returns the newest that holds.
func (n *Node) configFromPeers(ctx context.Context, than *config.State) *config.State {
	newest := than
	for _, address := range n.configGivers(than) {
		transfer, err := n.fetchConfig(ctx, address, newest.Offset)
		if err == nil {
			newest, err = config.ApplyTransfer(newest, transfer)
		}
		if err != nil {
			n.logger.Warn().Err(err).Str("peer", address).Msg("configuration of peer not taken")
		}
	}
	if newest != than {
		n.logger.Info().Int64("version", newest.Version).Int64("offset", newest.Offset).Msg("configuration taken from peers")
	}
	return newest
}

// configGivers returns the peer addresses to ask. Without news of a newer state the
// nodes of the host list are asked, but only by a node that has no configuration.
func (n *Node) configGivers(than *config.State) []string {
	snapshot := n.control.Snapshot()
	var newer, listed []string
	for _, known := range snapshot.Peers {
		if known.ConfigOffset > than.Offset {
			newer = append(newer, known.PeerAddress)
		}
	}
	for _, member := range snapshot.Members.Nodes {
		if member.Address != n.peerServer.Address() {
			listed = append(listed, member.Address)
		}
	}
	addresses := newer
	if len(newer) == 0 && than.Version == 0 {
		addresses = listed
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), peersAsked)]
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
	body := io.LimitReader(response.Body, maxTransferBytes)
	if err := json.NewDecoder(body).Decode(&transfer); err != nil {
		return transfer, fmt.Errorf("read configuration of peer %s: %w", address, err)
	}
	return transfer, nil
}
