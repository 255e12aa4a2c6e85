package ingress

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/operator"
)

// Places where callers may put their key, besides call.HeaderKey and
// "Authorization: Bearer".
const (
	keyParameter = "mangomast_key"
	keyCookie    = "mangomast_key"
	bearerPrefix = "Bearer "
)

// extractKey removes the caller's key from every place of the request and
// returns it. It returns false if there is no key or if there are several
// different ones.
func extractKey(r *http.Request) (string, bool) {
	found := map[string]bool{}
	addKey := func(key string) {
		if key = strings.TrimSpace(key); key != "" {
			found[key] = true
		}
	}
	for _, value := range r.Header.Values("Authorization") {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			addKey(value[len(bearerPrefix):])
		}
	}
	for _, value := range r.Header.Values(call.HeaderKey) {
		addKey(value)
	}
	r.Header.Del("Authorization")
	r.Header.Del("Proxy-Authorization")
	r.Header.Del(call.HeaderKey)
	extractQueryKey(r.URL, addKey)
	extractCookieKey(r, addKey)
	for key := range found {
		removeCopies(r, key)
	}
	if len(found) != 1 {
		return "", false
	}
	for key := range found {
		return key, true
	}
	return "", false
}

func extractQueryKey(u *url.URL, addKey func(string)) {
	if u.RawQuery == "" {
		return
	}
	kept := []string{}
	for pair := range strings.SplitSeq(u.RawQuery, "&") {
		name, value, _ := strings.Cut(pair, "=")
		decoded, err := url.QueryUnescape(name)
		if err != nil || !strings.EqualFold(decoded, keyParameter) {
			kept = append(kept, pair)
			continue
		}
		if key, err := url.QueryUnescape(value); err == nil {
			addKey(key)
		}
	}
	u.RawQuery = strings.Join(kept, "&")
}

// extractCookieKey removes the cookie that holds a key, and the session cookie
// of an operator who is signed in to the console on the same IP address.
func extractCookieKey(r *http.Request, addKey func(string)) {
	cookies := r.Cookies()
	if len(cookies) == 0 {
		return
	}
	r.Header.Del("Cookie")
	for _, cookie := range cookies {
		if strings.EqualFold(cookie.Name, keyCookie) {
			addKey(cookie.Value)
			continue
		}
		if cookie.Name == operator.SessionCookie {
			continue
		}
		r.AddCookie(cookie)
	}
}

// removeCopies removes every other header and query parameter that contains the
// key.
func removeCopies(r *http.Request, key string) {
	for name, values := range r.Header {
		for _, value := range values {
			if strings.Contains(value, key) {
				r.Header.Del(name)
				break
			}
		}
	}
	kept := []string{}
	for pair := range strings.SplitSeq(r.URL.RawQuery, "&") {
		decoded, err := url.QueryUnescape(pair)
		if err == nil && !strings.Contains(decoded, key) {
			kept = append(kept, pair)
		}
	}
	r.URL.RawQuery = strings.Join(kept, "&")
}
