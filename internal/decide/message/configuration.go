package message

import "teaselmoor/internal/control/config"

// ConfigOffer tells a daemon which configuration the sender has accepted.
type ConfigOffer struct {
	// Mark is the zero value while the sender has accepted none.
	Mark config.Mark
	// Contact says that the sender watches the configuration service and that
	// its last call did not fail.
	Contact bool
	// Reply says that this answers an offer; a reply is never answered.
	Reply bool
}

// ConfigFetch asks for one part of an offered configuration.
type ConfigFetch struct {
	Mark config.Mark
	// Part is the part's name; empty asks for the manifest.
	Part string
}

// ConfigPart answers a ConfigFetch.
type ConfigPart struct {
	Mark config.Mark
	Part string
	Body []byte
	// Missing says that the sender no longer holds it.
	Missing bool
}

// Lane implementations.
func (offer ConfigOffer) Lane() Lane { return ControlLane }
func (fetch ConfigFetch) Lane() Lane { return ControlLane }
func (part ConfigPart) Lane() Lane   { return ControlLane }
