// Package settings loads the settings file of a process, one object of JSON with
// comments. Every field is validated on load, unknown and repeated fields are
// rejected, and all problems are reported together as Problems, each with file,
// line, field path, actual value and accepted values. Examples that explain each
// field are in examples/settings.
package settings
