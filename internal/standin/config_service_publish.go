package standin

import (
	"time"
)

// A Crossing is the order in which one publication becomes visible.
type PublicationOrder string

// The crossings of a publication.
const (
	// InOrder shows all parts before the manifest.
	PartsFirst PublicationOrder = ""
	// ManifestFirst shows the manifest CrossedFor before its parts.
	ManifestFirst PublicationOrder = "manifest-first"
	// WrongParts shows the bytes of other parts under the new parts' keys for
	// CrossedFor.
	WrongParts PublicationOrder = "wrong-parts"
)

// Publish writes the parts, keyed by digest, and then the manifest. Crossing
// changes the order in which they become visible.
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

// swapped gives every key the bytes of another key, or damaged bytes when
// there is only one.
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

// Cross sets how later publications become visible.
func (c *ConfigService) SetPublicationOrder(order PublicationOrder, inconsistentFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Order, c.InconsistentFor = order, inconsistentFor
}
