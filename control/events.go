package control

import (
	"time"

	"github.com/persimmonline/persimmonline/config"
)

// ConfigUpdated is what one step of following the configuration came to.
type ConfigUpdated struct {
	// State that was reached; an older one changes nothing.
	State *config.State
	// ReadAt is when the log was read; zero when it was not.
	ReadAt time.Time
	// Condition says why the configuration can't advance; empty when it can.
	Condition ConfigCondition
}

func (e ConfigUpdated) apply(s *state) {
	if !e.ReadAt.IsZero() {
		s.logReadAt = e.ReadAt
	}
	if e.Condition != s.condition {
		s.logger.Warn().Str("condition", string(e.Condition)).Int64("version", s.config.Version).
			Msg("condition of the configuration changed; the version is kept")
	}
	s.condition = e.Condition
	s.adopt(config.Newer(s.config, e.State))
}

// adopt takes a newer state and indexes it if its version changed.
func (s *state) adopt(next *config.State) {
	changed := next.Version != s.config.Version
	s.config = next
	if !changed {
		return
	}
	s.index = config.NewIndex(next)
	s.logger.Info().Int64("version", next.Version).Msg("configuration in force")
}

// PeerConfigReported is what a peer said of its configuration when it was asked.
type PeerConfigReported struct {
	// PeerAddress of the peer.
	PeerAddress string
	// Version in force there.
	Version int64
	// Offset of the next record that it has not folded.
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
