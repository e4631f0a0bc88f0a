// Package settings holds what a daemon is told at its start. Settings come from
// one YAML file; an unknown key or a bad value is an error that names it.
package settings

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Settings are one daemon's settings.
type Settings struct {
	// Name is the VM's name, as in the VM list.
	Name string `yaml:"Name"`
	// DataCentre and Region say where the VM stands.
	DataCentre string `yaml:"DataCentre"`
	Region     string `yaml:"Region"`
	// CallerAddress, InnerAddress and OperatorAddress are where the daemon
	// listens for callers, other daemons and operators (IP:port).
	CallerAddress   string `yaml:"CallerAddress"`
	InnerAddress    string `yaml:"InnerAddress"`
	OperatorAddress string `yaml:"OperatorAddress"`
	// ConfigAddress and VMListAddress are the platform's services (IP:port).
	ConfigAddress string `yaml:"ConfigAddress"`
	VMListAddress string `yaml:"VMListAddress"`
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	settings, err := Parse(text)
	return settings, errors.Wrapf(err, "settings %s", path)
}

// Parse reads and checks settings.
func Parse(text []byte) (Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var settings Settings
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, errors.Wrap(err, "parse")
	}
	return settings, settings.check()
}

func (settings Settings) check() error {
	names := map[string]string{
		"Name": settings.Name, "DataCentre": settings.DataCentre, "Region": settings.Region,
	}
	for key, value := range names {
		if value == "" {
			return errors.Errorf("%s: must not be empty", key)
		}
	}
	addresses := map[string]string{
		"CallerAddress": settings.CallerAddress, "InnerAddress": settings.InnerAddress,
		"OperatorAddress": settings.OperatorAddress, "ConfigAddress": settings.ConfigAddress,
		"VMListAddress": settings.VMListAddress,
	}
	for key, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errors.Errorf("%s: %q: want an IP number and port", key, value)
		}
	}
	return nil
}
