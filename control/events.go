package control

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
)

// ConfigRead is a successful read of the config stream.
type ConfigRead struct {
	// Records in order.
	Records []api.StoredRecord
	// At is when the read ended.
	At time.Time
}

func (e ConfigRead) apply(s *state) {
	s.logReadAt = e.At
	for _, record := range e.Records {
		next, err := config.Fold(s.config, record)
		if err != nil {
			s.logger.Error().Err(err).Int64("version", s.config.Version).Msg("configuration is held at its version")
			return
		}
		s.adopt(next)
	}
}

// ConfigSnapshot is a state that was read from a snapshot or from a peer.
type ConfigSnapshot struct {
	// State that was checked.
	State *config.State
}

func (e ConfigSnapshot) apply(s *state) { s.adopt(config.Newer(s.config, e.State)) }

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
