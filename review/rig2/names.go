package rig2

import (
	_ "embed" // for the names and the settings file
	"encoding/json"
	"text/template"
)

// names holds the names of the users' pages that the stand-ins and the balancers share.
var names struct {
	Get, List, Watch, Commit, Grant, Keep, End string // calls of the store

	Config         string // key of the desired state
	Endpoints      string // prefix of the endpoints' entries
	ColdLeft       string // field of an entry
	EndpointHeader string // of a health answer
	BootVariable   string // names the settings file
}

//go:embed names.json
var namesText []byte

//go:embed boot.json
var bootText string

// bootTemplate is the settings file, with gaps for the fields of settings.
var bootTemplate = template.Must(template.New("boot").Parse(bootText))

// settings fill the gaps of the settings file.
type settings struct {
	Name, IP, Zone              string
	Zones, Seeds                []string
	Data, Ready, Control, Store string
	Bootstrap                   bool
	HeartbeatMS                 int
	DrainMS, ConfigMS           int
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}
