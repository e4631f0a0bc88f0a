package message

import "teaselmoor/internal/control/config"

// ConfigOffer announces which configuration the sender has accepted.
type ConfigOffer struct {
	// Mark is the zero value if the sender has not accepted any configuration.
	Mark config.Mark
	// Contact is set if the sender watches the configuration service and its last
	// call succeeded.
	Contact bool
	// Reply is set if the message answers another offer; a reply is never answered.
	Reply bool
}

// ConfigFetch asks for one part of an offered configuration.
type ConfigFetch struct {
	Mark config.Mark
	// Part is the name of the part; empty asks for the manifest.
	Part string
}

// ConfigPart answers a ConfigFetch.
type ConfigPart struct {
	Mark config.Mark
	Part string
	Body []byte
	// Missing is set if the sender no longer has the part.
	Missing bool
}

// Lane implementations of the configuration messages.
func (offer ConfigOffer) Lane() Lane { return ControlLane }
func (fetch ConfigFetch) Lane() Lane { return ControlLane }
func (part ConfigPart) Lane() Lane   { return ControlLane }
