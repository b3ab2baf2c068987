package standin

import (
	"time"
)

// A PublicationOrder is the order in which the manifest and the parts of one
// publication become visible. Orders other than PartsFirst show readers an
// inconsistent state for some time.
type PublicationOrder string

// The orders of a publication.
const (
	// PartsFirst shows all parts before the manifest.
	PartsFirst PublicationOrder = ""
	// ManifestFirst shows the manifest first, and its parts after
	// InconsistentFor.
	ManifestFirst PublicationOrder = "manifest-first"
	// WrongParts shows wrong bytes under the keys of the new parts, and the
	// right ones after InconsistentFor.
	WrongParts PublicationOrder = "wrong-parts"
)

// Publish writes a manifest and its parts, given by digest. They become visible
// in the order that the field Order selects.
func (c *ConfigService) Publish(manifest []byte, parts map[string][]byte) error {
	c.mu.Lock()
	order, inconsistentFor, delay := c.Order, c.InconsistentFor, c.VisibilityDelay
	c.mu.Unlock()
	correctParts := map[string][]byte{}
	for d, b := range parts {
		correctParts["parts/"+d] = b
	}
	manifestValue := map[string][]byte{"manifest": manifest}
	switch order {
	case ManifestFirst:
		if err := c.write(manifestValue, delay); err != nil {
			return err
		}
		return c.write(correctParts, delay+inconsistentFor)
	case WrongParts:
		if err := c.write(swapBytes(correctParts), delay); err != nil {
			return err
		}
		if err := c.write(manifestValue, delay); err != nil {
			return err
		}
		return c.write(correctParts, delay+inconsistentFor)
	default:
		if err := c.write(correctParts, delay); err != nil {
			return err
		}
		return c.write(manifestValue, delay)
	}
}

// swapBytes gives every key the bytes of another key, or changed bytes if there
// is only one key.
func swapBytes(in map[string][]byte) map[string][]byte {
	out := map[string][]byte{}
	first, last := "", ""
	for k := range in {
		if last == "" {
			first = k
		} else {
			out[last] = in[k]
		}
		last = k
	}
	if first == last {
		out[last] = append([]byte("# other version\n"), in[last]...)
	} else {
		out[last] = in[first]
	}
	return out
}

// SetPublicationOrder sets the order in which later publications become visible,
// and how long they are inconsistent.
func (c *ConfigService) SetPublicationOrder(order PublicationOrder, inconsistentFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Order, c.InconsistentFor = order, inconsistentFor
}
