package node

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/telemetry"
)

// minPeerKey is the minimum length of the secret shared by nodes, in characters.
const minPeerKey = 16

// idPattern excludes the dots that separate the parts of a request id.
var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// SettingError describes one invalid setting.
type SettingError struct {
	// Flag of the setting, with its dashes.
	Flag string
	// Value of the setting.
	Value string
	// Message explains what is wrong.
	Message string
}

// Error implements error.
func (s *SettingError) Error() string { return fmt.Sprintf("%s=%q: %s", s.Flag, s.Value, s.Message) }

// Validate checks all settings and returns the joined errors.
func Validate(s api.Settings) error {
	var errs []error
	for _, err := range SettingErrors(s) {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// SettingErrors returns one error for each invalid setting.
func SettingErrors(s api.Settings) []*SettingError {
	v := &settingsValidator{}
	v.id("--node-id", s.NodeID)
	v.id("--data-centre", s.DataCentre)
	v.id("--region", s.Region)
	if s.HostID != "" {
		v.id("--host-id", s.HostID)
	}
	v.address("--caller-address", s.CallerAddress)
	v.address("--admin-address", s.AdminAddress)
	v.address("--peer-address", s.PeerAddress)
	v.distinctAddresses(s)
	v.url("--log-url", s.LogURL, true)
	v.url("--hosts-url", s.HostsURL, true)
	v.url("--cloud-url", s.CloudURL, true)
	v.url("--weights-url", s.WeightsURL, false)
	if len(s.PeerKey) < minPeerKey {
		v.addError("--peer-key", "(hidden)", fmt.Sprintf("must have %d characters or more", minPeerKey))
	}
	v.duration("--readiness-grace", s.ReadinessGrace, 0)
	v.duration("--drain-timeout", s.DrainTimeout, 0)
	v.duration("--config-poll", s.ConfigPoll, time.Millisecond)
	v.duration("--snapshot-interval", s.SnapshotInterval, time.Second)
	v.duration("--hosts-poll", s.HostsPoll, time.Millisecond)
	v.duration("--heartbeat", s.Heartbeat, time.Millisecond)
	v.positive("--max-body-bytes", s.MaxBodyBytes)
	v.positive("--max-streams", int64(s.MaxStreams))
	if s.TraceExporter == telemetry.ExporterOTLP {
		v.url("--trace-endpoint", s.TraceEndpoint, true)
	}
	v.oneOf("--log-level", s.LogLevel, "debug", "info", "warn", "error")
	v.oneOf("--trace-exporter", s.TraceExporter, telemetry.ExporterNone, telemetry.ExporterStdout, telemetry.ExporterOTLP)
	return v.errs
}

type settingsValidator struct {
	errs []*SettingError
}

func (v *settingsValidator) oneOf(flag, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addError(flag, value, "must be one of "+strings.Join(allowed, ", "))
	}
}

func (v *settingsValidator) addError(flag, value, message string) {
	v.errs = append(v.errs, &SettingError{Flag: flag, Value: value, Message: message})
}

// distinctAddresses checks that the caller, operator and peer listeners have different
// addresses.
func (v *settingsValidator) distinctAddresses(s api.Settings) {
	flagByAddress := map[string]string{}
	for _, listener := range []struct{ flag, address string }{
		{"--caller-address", s.CallerAddress}, {"--admin-address", s.AdminAddress}, {"--peer-address", s.PeerAddress},
	} {
		parsed, err := netip.ParseAddrPort(listener.address)
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if other, used := flagByAddress[listener.address]; used {
			v.addError(listener.flag, listener.address, "is the address of "+other+" too")
		}
		flagByAddress[listener.address] = listener.flag
	}
}

func (v *settingsValidator) id(flag, value string) {
	if !idPattern.MatchString(value) {
		v.addError(flag, value, "must be lower-case letters, digits, dashes and underscores")
	}
}

func (v *settingsValidator) address(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addError(flag, value, "must be IP:port, for example 127.0.0.1:8080")
	}
}

func (v *settingsValidator) url(flag, value string, required bool) {
	if value == "" && !required {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		v.addError(flag, value, "must be an HTTP URL, for example http://127.0.0.1:7000")
	}
}

func (v *settingsValidator) duration(flag string, value, minimum time.Duration) {
	if value < minimum {
		v.addError(flag, value.String(), fmt.Sprintf("must be %v or more", minimum))
	}
}

func (v *settingsValidator) positive(flag string, value int64) {
	if value <= 0 {
		v.addError(flag, fmt.Sprint(value), "must be above 0")
	}
}
