package config

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// fieldNamesByLowerCase maps the lower-case form of every field name of the
// published types to the field name.
var fieldNamesByLowerCase = fieldNamesOf(reflect.TypeFor[Manifest](), reflect.TypeFor[PartRef](), reflect.TypeFor[Document](),
	reflect.TypeFor[Values](), reflect.TypeFor[AvailabilityZone](), reflect.TypeFor[Service](), reflect.TypeFor[Host](),
	reflect.TypeFor[Route](), reflect.TypeFor[ClientAccount](), reflect.TypeFor[Exception](), reflect.TypeFor[Split](), reflect.TypeFor[CallerLimits]())

func fieldNamesOf(types ...reflect.Type) map[string]string {
	names := map[string]string{}
	for _, t := range types {
		for f := range t.Fields() {
			names[strings.ToLower(f.Name)] = f.Name
		}
	}
	return names
}

// checkSpelling adds a fault for each key that differs from a field name only
// in case. The decoder ignores case, so with both Slots and slots in one table
// it would take the last one without an error.
func checkSpelling(f *Faults, part string, b []byte) {
	var tree map[string]any
	if err := toml.Unmarshal(b, &tree); err != nil {
		f.add(part, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return
	}
	checkTable(f, part, "", tree)
}

// checkTable checks the keys of a table and of the tables in it.
func checkTable(f *Faults, part, tablePath string, table map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(table)) {
		keyPath := key
		if tablePath != "" {
			keyPath = tablePath + "." + key
		}
		if name := fieldNamesByLowerCase[strings.ToLower(key)]; name != "" && name != key {
			f.add(part, keyPath, "must be written %s", name)
		}
		switch v := table[key].(type) {
		case map[string]any:
			checkTable(f, part, keyPath, v)
		case []any:
			for _, e := range v {
				if t, ok := e.(map[string]any); ok {
					checkTable(f, part, keyPath, t)
				}
			}
		}
	}
}
