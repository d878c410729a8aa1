// Package settings reads the daemon's static settings: a TOML file, with
// single values overridden by flags and the environment. What changes while
// the daemon runs is in the catalogue instead.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/keys"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/router"
)

// Settings is the settings file. Durations are written as text such as "2s".
type Settings struct {
	Name       string     `toml:"name"`
	DataCenter string     `toml:"data_center"`
	Group      []string   `toml:"group"` // data centres that share sprayed packets; all when empty
	Data       Data       `toml:"data"`
	Fabric     Fabric     `toml:"fabric"`
	Control    Control    `toml:"control"`
	Admin      Admin      `toml:"admin"`
	Store      Store      `toml:"store"`
	Catalogue  Catalogue  `toml:"catalogue"`
	Flows      Flows      `toml:"flows"`
	Balance    Balance    `toml:"balance"`
	Leave      Leave      `toml:"leave"`
	Log        Log        `toml:"log"`
	Members    []Member   `toml:"member"`
	Keys       keys.Files `toml:"keys"`
}

// Data is the data path's socket.
type Data struct {
	Listen  netip.AddrPort `toml:"listen"`
	Workers int            `toml:"workers"`
}

// Fabric says where callers are reached and which sources are the fabric's.
type Fabric struct {
	Address netip.AddrPort `toml:"address"`
	Sources []netip.Prefix `toml:"sources"`
}

// Control is the balancers' own protocol.
type Control struct {
	Listen         netip.AddrPort `toml:"listen"`
	Period         Duration       `toml:"period"`
	AckTimeout     Duration       `toml:"ack_timeout"`
	SuspectTimeout Duration       `toml:"suspect_timeout"`
	PauseLimit     Duration       `toml:"pause_limit"`
}

// Admin is the operators' endpoint.
type Admin struct {
	Listen netip.AddrPort `toml:"listen"`
}

// Store is the platform's key-value store.
type Store struct {
	URL       string   `toml:"url"`
	Token     string   `toml:"token"`
	Prefix    string   `toml:"prefix"`
	VMRefresh Duration `toml:"vm_refresh"`
}

// Catalogue names a folder of entries that takes the store's place.
type Catalogue struct {
	Folder string `toml:"folder"`
}

// Flows bounds the flow table.
type Flows struct {
	Max         int      `toml:"max"`
	MaxOpenings int      `toml:"max_openings"`
	StreamIdle  Duration `toml:"stream_idle"`
	RequestIdle Duration `toml:"request_idle"`
	OpenTimeout Duration `toml:"open_timeout"`
	MaxTries    int      `toml:"max_tries"`
	SilentAfter Duration `toml:"silent_after"`
	DeadAfter   Duration `toml:"dead_after"`
}

// Balance sets the choice of targets.
type Balance struct {
	Policy string   `toml:"policy"`
	Ramp   Duration `toml:"ramp"`
	Hints  bool     `toml:"load_hints"`
}

// Leave bounds a planned stop.
type Leave struct {
	Quiet Duration `toml:"quiet"`
	Max   Duration `toml:"max"`
}

// Log sets the log's level.
type Log struct {
	Level string `toml:"level"`
}

// Member is a balancer that may be reached to join the others.
type Member struct {
	Name       string         `toml:"name" json:"name"`
	DataCenter string         `toml:"data_center" json:"data_center"`
	Data       netip.AddrPort `toml:"data" json:"data"`
	Control    netip.AddrPort `toml:"control" json:"control"`
	// Source is the address that its packets come from, if it is not that of Data.
	Source netip.Addr `toml:"source" json:"-"`
}

// Duration is a time.Duration that TOML writes as text.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns the settings' defaults.
func Default() Settings {
	m, r := member.Settings{}.Defaults(), router.Settings{}.Defaults()
	return Settings{
		Control: Control{
			Period:         Duration(m.Period),
			AckTimeout:     Duration(m.AckTimeout),
			SuspectTimeout: Duration(m.SuspectTimeout),
			PauseLimit:     Duration(r.AliveInterval),
		},
		Store: Store{Prefix: "rosedale", VMRefresh: Duration(30 * time.Second)},
		Flows: Flows{
			Max:         r.MaxFlows,
			MaxOpenings: r.MaxOpenings,
			StreamIdle:  Duration(r.StreamIdle),
			RequestIdle: Duration(r.RequestIdle),
			OpenTimeout: Duration(r.OpenTimeout),
			MaxTries:    r.MaxTries,
			SilentAfter: Duration(r.SilentAfter),
			DeadAfter:   Duration(r.DeadAfter),
		},
		Balance: Balance{Policy: balance.Bounded.String(), Ramp: Duration(10 * time.Second), Hints: true},
		Leave:   Leave{Quiet: Duration(time.Second), Max: Duration(30 * time.Second)},
		Log:     Log{Level: "info"},
	}
}

// Read returns the defaults with the file's values in place.
func Read(path string) (Settings, error) {
	s := Default()
	b, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "settings: read")
	}
	md, err := toml.Decode(string(b), &s)
	if err != nil {
		return s, errors.Wrapf(err, "settings: %s", path)
	}
	if u := md.Undecoded(); len(u) > 0 {
		return s, errors.Errorf("settings: %s: unknown key %q", path, u[0].String())
	}
	return s, nil
}
