// Package settings reads the static settings of rosedaled: a TOML file, in which
// flags and the environment override single values. Configuration that changes
// while the daemon runs is in the catalogue instead.
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

// Settings is the content of the settings file. Durations are text such as "2s".
type Settings struct {
	Name       string     `toml:"name"`
	DataCenter string     `toml:"data_center"`
	Group      []string   `toml:"group"` // data centres over whose balancers the fabric spreads the same packets; empty means all
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

// Data configures the data path: its UDP socket and the number of workers.
type Data struct {
	Listen  netip.AddrPort `toml:"listen"`
	Workers int            `toml:"workers"` // traffic goroutines; 0 means one per processor, 4 at most
}

// Fabric holds the address through which callers are reached and the prefixes from which
// the fabric sends.
type Fabric struct {
	Address netip.AddrPort `toml:"address"`
	Sources []netip.Prefix `toml:"sources"`
}

// Control configures the protocol between balancers.
type Control struct {
	Listen         netip.AddrPort `toml:"listen"`
	Period         Duration       `toml:"period"`          // interval of heartbeats
	AckTimeout     Duration       `toml:"ack_timeout"`     // silence of a member after which others ping it
	SuspectTimeout Duration       `toml:"suspect_timeout"` // time from suspecting a member to marking it dead
	// PauseLimit is the longest pause of the control goroutine after which this balancer
	// still decides on its own: after a longer one, peers may have replaced it.
	PauseLimit Duration `toml:"pause_limit"`
}

// Admin configures the operators' HTTP endpoint.
type Admin struct {
	Listen netip.AddrPort `toml:"listen"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	URL       string   `toml:"url"`
	Token     string   `toml:"token"`
	Prefix    string   `toml:"prefix"`     // of all keys
	VMRefresh Duration `toml:"vm_refresh"` // interval of reading the platform's list of VMs
}

// Catalogue names a folder of catalogue entries that replaces the store.
type Catalogue struct {
	Folder string `toml:"folder"`
}

// Flows holds the limits and timeouts of the flow table.
type Flows struct {
	Max         int      `toml:"max"`          // entries of the flow table
	MaxOpenings int      `toml:"max_openings"` // unfinished openings of one service
	StreamIdle  Duration `toml:"stream_idle"`  // time until an idle stream flow is forgotten
	RequestIdle Duration `toml:"request_idle"` // time until an idle request flow is forgotten
	OpenTimeout Duration `toml:"open_timeout"` // silence of a target after which an opening is retried
	MaxTries    int      `toml:"max_tries"`    // targets tried for one opening
	// SilentAfter is the time after which a flow whose caller retransmits the same segment
	// without an answer is reset if its target answers other flows, and DeadAfter the time
	// if it answers none.
	SilentAfter Duration `toml:"silent_after"`
	DeadAfter   Duration `toml:"dead_after"`
}

// Balance configures the choice of targets.
type Balance struct {
	Policy string   `toml:"policy"`     // name of a balance.Policy
	Ramp   Duration `toml:"ramp"`       // time over which a target that became eligible reaches its full share
	Hints  bool     `toml:"load_hints"` // use the load that targets' health endpoints report
}

// Leave holds the time limits of a planned stop.
type Leave struct {
	Quiet Duration `toml:"quiet"` // the stop ends when the fabric has sent nothing for this time
	Max   Duration `toml:"max"`   // the stop ends after this time in any case
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"`
}

// Member is another balancer, through which this one can join the fleet.
type Member struct {
	Name       string         `toml:"name" json:"name"`
	DataCenter string         `toml:"data_center" json:"data_center"`
	Data       netip.AddrPort `toml:"data" json:"data"`
	Control    netip.AddrPort `toml:"control" json:"control"`
	// Source is the source address of its packets, if it differs from Data's.
	Source netip.Addr `toml:"source" json:"-"`
}

// Duration is a time.Duration with a text form in TOML, such as "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns the default settings.
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

// Read reads the file at path; settings that it lacks have their defaults. An unknown key is
// an error.
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
