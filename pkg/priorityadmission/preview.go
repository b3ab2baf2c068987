package priorityadmission

// Preview returns the refusal that Admit would return at once for a request, or nil if
// the request would start or wait. A refusal is counted as one of Admit. A node asks for
// the body of a large request only after a Preview, since the body of a refused one would
// have used the link in vain.
func (c *Controller) Preview(req Request) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, refusal := c.decide(req, c.Now())
	return refusal
}
