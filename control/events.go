package control

import (
	"time"

	"github.com/persimmonline/persimmonline/config"
)

// ConfigUpdated is the result of one step of following the configuration.
type ConfigUpdated struct {
	// State that was reached; a state older than the current one has no effect.
	State *config.State
	// ReadAt is when the log was read; zero if it was not.
	ReadAt time.Time
	// Condition is the reason why the configuration can't advance; empty if it can.
	Condition ConfigCondition
}

func (e ConfigUpdated) apply(s *state) {
	if !e.ReadAt.IsZero() {
		s.logReadAt = e.ReadAt
	}
	if e.Condition != s.condition {
		s.logger.Warn().Str("condition", string(e.Condition)).Int64("version", s.config.Version).
			Msg("configuration condition changed")
	}
	s.condition = e.Condition
	s.adopt(config.Newer(s.config, e.State))
}

// adopt switches to a state and indexes it if its version changed.
func (s *state) adopt(next *config.State) {
	changed := next.Version != s.config.Version
	s.config = next
	if !changed {
		return
	}
	s.index = config.NewIndex(next)
	s.logger.Info().Int64("version", next.Version).Msg("configuration in force")
}

// PeerConfigReported is a peer's answer about its configuration.
type PeerConfigReported struct {
	// PeerAddress of the peer, IP:port.
	PeerAddress string
	// Version in force at the peer.
	Version int64
	// Offset of the first record that the peer has not folded.
	Offset int64
}

func (e PeerConfigReported) apply(s *state) {
	for id, known := range s.peers {
		if known.PeerAddress != e.PeerAddress || known.ConfigOffset >= e.Offset {
			continue
		}
		known.ConfigVersion, known.ConfigOffset = e.Version, e.Offset
		s.peers[id] = known
	}
}
