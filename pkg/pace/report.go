package pace

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("pace")

// InvalidReport means that a report is not of the documented form.
var InvalidReport = namespace.NewType("invalid_report")

// maxReportLength limits the length of a report. Four figures of any use are shorter.
const maxReportLength = 64

// A Report is what a server states about its load.
type Report struct {
	Running, Waiting, Slots int
	// Pace is the stated pace; 0 if the report has none.
	Pace float64
}

// ParseReport parses a report: the numbers of running and waiting requests and of slots,
// and optionally the pace in percent, separated by commas. The pace may have a fraction.
// The error is of type InvalidReport.
func ParseReport(text string) (Report, error) {
	if len(text) > maxReportLength {
		return Report{}, InvalidReport.New("%d bytes", len(text))
	}
	figures := strings.Split(text, ",")
	if len(figures) != 3 && len(figures) != 4 {
		return Report{}, InvalidReport.New("%d figures", len(figures))
	}
	for i := range figures {
		figures[i] = strings.Trim(figures[i], " \t")
		if !isFigure(figures[i], i == 3) {
			return Report{}, InvalidReport.New("figure %d is %q", i+1, figures[i])
		}
	}
	var r Report
	for i, to := range []*int{&r.Running, &r.Waiting, &r.Slots} {
		n, err := strconv.Atoi(figures[i])
		if err != nil {
			return Report{}, InvalidReport.Wrap(err, "figure %d", i+1)
		}
		*to = n
	}
	if len(figures) == 3 {
		return r, nil
	}
	percent, err := strconv.ParseFloat(figures[3], 64)
	if err != nil {
		return Report{}, InvalidReport.Wrap(err, "figure 4")
	}
	if r.Pace = percent / 100; !Plausible(r.Pace) {
		return Report{}, InvalidReport.New("a pace of %s percent is out of bounds", figures[3])
	}
	return r, nil
}

// isFigure reports whether s consists of digits, with one fraction if allowed. Signs,
// exponents and names such as NaN, which package strconv accepts, are not figures.
func isFigure(s string, fraction bool) bool {
	whole, part, hasFraction := strings.Cut(s, ".")
	return isDigits(whole) && (!hasFraction || (fraction && isDigits(part)))
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
