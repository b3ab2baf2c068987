package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/operator"
)

// maxKeyBytes bounds the key that is read from standard input.
const maxKeyBytes = 4096

func (c *cli) addRoute() {
	q := operator.RouteQuery{Method: http.MethodGet}
	var asJSON bool
	s := c.addCommand(nil, "route", "ADDR PATH: print where the sidecar with this operator address would send a request now, and why", func(args []string) error {
		if len(args) != 2 {
			return command.ErrUsage.New("route needs an operator address and a path, such as 10.0.0.7:8081 /list/7")
		}
		q.Path = args[1]
		if q.Key == "-" {
			b, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes))
			if err != nil {
				return command.ErrRead.Wrap(err, "cannot read the key from standard input")
			}
			q.Key = strings.TrimSpace(string(b))
		}
		err := operator.PrintRoute(context.Background(), args[0], &q, asJSON, c.out)
		if errorx.IsOfType(err, operator.ErrBadQuery) {
			return command.ErrUsage.New("route: %s", errorx.Cast(err).Message())
		}
		return err
	})
	s.String(&q.Method, "m", "method", "method of the request")
	s.String(&q.VirtualHost, "H", "host", "virtual host of the request, its Host header")
	s.String(&q.Key, "k", "key", "key of the caller; - reads it from standard input, so that it is not in the list of processes")
	s.Float64(&q.LeftMs, "l", "left-ms", "time that the caller has left, in milliseconds; 0 if it states none")
	s.Int64(&q.BodyBytes, "b", "body-bytes", "length of the body")
	s.Bool(&q.Nested, "n", "nested", "the request is made by an instance for one that it runs")
	s.Bool(&asJSON, "j", "json", "print JSON")
}
