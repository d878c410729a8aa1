package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/router"
)

// Check validates s. The error names the key.
func (s *Settings) Check() error {
	for _, f := range []func() error{s.checkIdentity, s.checkAddresses, s.checkDurations, s.checkLimits} {
		if err := f(); err != nil {
			return errors.Wrap(err, "settings")
		}
	}
	return nil
}

func (s *Settings) checkIdentity() error {
	switch {
	case s.Name == "":
		return errors.New("name: is missing")
	case s.DataCenter == "":
		return errors.New("data_center: is missing")
	case s.Store.URL == "" && s.Catalogue.Folder == "":
		return errors.New("store.url or catalogue.folder: one is needed")
	case s.Store.URL != "" && s.Catalogue.Folder != "":
		return errors.New("store.url and catalogue.folder: only one can be set")
	case s.Store.URL != "" && !strings.HasPrefix(s.Store.URL, "http"):
		return errors.Errorf("store.url: %q is not an HTTP address", s.Store.URL)
	case s.Control.Listen.IsValid() && (s.Keys.CA == "" || s.Keys.Cert == "" || s.Keys.Key == ""):
		return errors.New("keys: ca, cert and key are needed with control.listen")
	case !s.Control.Listen.IsValid() && len(s.Members) > 0:
		return errors.New("control.listen: is needed with other members")
	}
	for _, g := range s.Group {
		if g == s.DataCenter {
			return nil
		}
	}
	if len(s.Group) > 0 {
		return errors.Errorf("group: does not contain this balancer's data centre %q", s.DataCenter)
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	for key, a := range map[string]netip.AddrPort{
		"data.listen":    s.Data.Listen,
		"fabric.address": s.Fabric.Address,
		"admin.listen":   s.Admin.Listen,
	} {
		if !a.IsValid() || a.Port() == 0 {
			return errors.Errorf("%s: %q is not an address and port", key, a)
		}
	}
	if len(s.Fabric.Sources) == 0 {
		return errors.New("fabric.sources: at least one prefix is needed")
	}
	for i, m := range s.Members {
		if m.Name == "" || m.DataCenter == "" || !m.Data.IsValid() || !m.Control.IsValid() {
			return errors.Errorf("member[%d]: name, data_center, data and control are needed", i)
		}
	}
	return nil
}

// bound is a duration with its valid range, limits included.
type bound struct {
	key    string
	value  Duration
	lo, hi time.Duration
}

func (s *Settings) durations() []bound {
	const ms = time.Millisecond
	return []bound{
		{"control.period", s.Control.Period, 50 * ms, 10 * time.Second},
		{"control.ack_timeout", s.Control.AckTimeout, 10 * ms, 10 * time.Second},
		{"control.suspect_timeout", s.Control.SuspectTimeout, 100 * ms, time.Minute},
		{"control.pause_limit", s.Control.PauseLimit, 200 * ms, 10 * time.Second},
		{"store.vm_refresh", s.Store.VMRefresh, time.Second, time.Hour},
		{"flows.stream_idle", s.Flows.StreamIdle, time.Second, 24 * time.Hour},
		{"flows.request_idle", s.Flows.RequestIdle, time.Second, time.Hour},
		{"flows.open_timeout", s.Flows.OpenTimeout, 50 * ms, 10 * time.Second},
		{"flows.silent_after", s.Flows.SilentAfter, time.Second, time.Hour},
		{"flows.dead_after", s.Flows.DeadAfter, time.Second, time.Hour},
		{"balance.ramp", s.Balance.Ramp, 0, 10 * time.Minute},
		{"leave.quiet", s.Leave.Quiet, 100 * ms, time.Minute},
		{"leave.max", s.Leave.Max, time.Second, time.Hour},
	}
}

func (s *Settings) checkDurations() error {
	for _, b := range s.durations() {
		if v := time.Duration(b.value); v < b.lo || v > b.hi {
			return errors.Errorf("%s: %v is not in %v..%v", b.key, v, b.lo, b.hi)
		}
	}
	return nil
}

func (s *Settings) checkLimits() error {
	if s.Flows.Max < 256 || s.Flows.Max > 1<<26 {
		return errors.Errorf("flows.max: %d is not in 256..67108864", s.Flows.Max)
	}
	if s.Flows.MaxOpenings < 1 || s.Flows.MaxOpenings > 1<<20 {
		return errors.Errorf("flows.max_openings: %d is not in 1..1048576", s.Flows.MaxOpenings)
	}
	if s.Flows.MaxTries < 1 || s.Flows.MaxTries > 16 {
		return errors.Errorf("flows.max_tries: %d is not in 1..16", s.Flows.MaxTries)
	}
	if s.Data.Workers < 0 || s.Data.Workers > 256 {
		return errors.Errorf("data.workers: %d is not in 0..256", s.Data.Workers)
	}
	if _, ok := balance.ParsePolicy(s.Balance.Policy); !ok {
		return errors.Errorf("balance.policy: %q is unknown", s.Balance.Policy)
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		return errors.Wrap(err, "log.level")
	}
	return nil
}

// Router returns the settings of the router.
func (s *Settings) Router() router.Settings {
	return router.Settings{
		MaxFlows:      s.Flows.Max,
		MaxOpenings:   s.Flows.MaxOpenings,
		OpenTimeout:   time.Duration(s.Flows.OpenTimeout),
		MaxTries:      s.Flows.MaxTries,
		StreamIdle:    time.Duration(s.Flows.StreamIdle),
		RequestIdle:   time.Duration(s.Flows.RequestIdle),
		SilentAfter:   time.Duration(s.Flows.SilentAfter),
		DeadAfter:     time.Duration(s.Flows.DeadAfter),
		AliveInterval: time.Duration(s.Control.PauseLimit),
	}
}

// Member returns the settings of the membership protocol.
func (s *Settings) Member() member.Settings {
	return member.Settings{
		Period:         time.Duration(s.Control.Period),
		AckTimeout:     time.Duration(s.Control.AckTimeout),
		SuspectTimeout: time.Duration(s.Control.SuspectTimeout),
	}
}
