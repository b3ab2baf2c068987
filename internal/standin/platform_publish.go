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
func (p *ConfigService) Publish(manifest []byte, parts map[string][]byte) error {
	p.mu.Lock()
	crossing, crossed, lag := p.Order, p.InconsistentFor, p.VisibilityDelay
	p.mu.Unlock()
	right := map[string][]byte{}
	for d, b := range parts {
		right["parts/"+d] = b
	}
	head := map[string][]byte{"manifest": manifest}
	switch crossing {
	case ManifestFirst:
		if err := p.write(head, lag); err != nil {
			return err
		}
		return p.write(right, lag+crossed)
	case WrongParts:
		if err := p.write(swapped(right), lag); err != nil {
			return err
		}
		if err := p.write(head, lag); err != nil {
			return err
		}
		return p.write(right, lag+crossed)
	default:
		if err := p.write(right, lag); err != nil {
			return err
		}
		return p.write(head, lag)
	}
}

// swapped gives every key the bytes of another key, or damaged bytes when
// there is only one.
func swapped(in map[string][]byte) map[string][]byte {
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
func (p *ConfigService) SetPublicationOrder(c PublicationOrder, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Order, p.InconsistentFor = c, d
}
