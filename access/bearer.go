package access

import "strings"

// bearerScheme is the authentication scheme of keys. It is case-insensitive.
const bearerScheme = "bearer"

// parseBearer returns the key in the values of a request's Authorization header. It reports
// false unless there is exactly one value, with the bearer scheme and exactly one key.
func parseBearer(values []string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	name, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(name, bearerScheme) {
		return "", false
	}
	key = strings.Trim(key, " ")
	return key, key != "" && !strings.ContainsAny(key, " \t")
}
