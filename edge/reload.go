package edge

import (
	"context"
	"reflect"
	"time"

	"github.com/persimmonline/persimmonline/platform"
)

// settingsPoll is the interval at which the settings file is read again, since it may change
// without a signal.
const settingsPoll = 5 * time.Second

// Reload triggers a reload of the settings file.
func (e *Edge) Reload() {
	select {
	case e.reloads <- struct{}{}:
	default:
	}
}

// watchSettings applies changes of the settings file. The bounds take effect at once; addresses of
// this process need a restart, and an invalid file changes nothing.
func (e *Edge) watchSettings(ctx context.Context) {
	known := e.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-e.reloads:
			signalled = true
		case <-time.After(settingsPoll):
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			e.logger.Error().Err(err).Msg("settings not reloaded")
			continue
		}
		changed := !reflect.DeepEqual(settings, known)
		if changed || signalled {
			e.logger.Info().Bool("changed", changed).Bool("signalled", signalled).Msg("settings reloaded")
		}
		if !changed {
			continue
		}
		restart := settings.CallerAddress != known.CallerAddress || settings.StoreAddress != known.StoreAddress ||
			settings.PeerPort != known.PeerPort || settings.CloudAddress != known.CloudAddress
		if restart {
			e.logger.Warn().Msg("changed addresses take effect after a restart")
		}
		known = settings
		e.bounds.Store(&settings.Bounds)
		e.control.post(ctx, func(now time.Time) {
			e.control.configureQuota(now)
			e.control.publishNow = true
		})
	}
}
