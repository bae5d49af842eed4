// Package drconfig defines the objects that operators declare, loads and validates
// declaration files, and maintains the current configuration. Operators append changes
// to the config stream of the log; every VM applies them in order (see Fold) and so
// gets the same configuration.
//
// A declaration file holds one object or a list of objects in JSON with
// comments. An object is written as {"KIND": {...}}, for example
// {"model": {"name": "m", "fleet": "f", "bytes": "8GiB"}}.
package drconfig
