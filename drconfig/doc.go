// Package drconfig holds the declarations that operators write, their
// validation, and the configuration that folding the config stream gives.
//
// A declaration file holds one object or a list of objects in JSON with
// comments. An object is written as {"KIND": {...}}, for example
// {"model": {"name": "m", "fleet": "f", "bytes": "8GiB"}}.
package drconfig
