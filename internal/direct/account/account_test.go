package account_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/account"
)

func TestByKey(t *testing.T) {
	directory, err := account.New([]account.Entry{
		{Account: account.Account{Name: "payroll", Limit: account.Limit{Rate: 5}}, Keys: []string{"one", "two"}},
		{Account: account.Account{Name: "trustees"}, Keys: []string{"three"}},
		{Account: account.Account{Name: "revoked"}},
	})
	require.NoError(t, err)
	for key, name := range map[string]string{"one": "payroll", "two": "payroll", "three": "trustees"} {
		found, ok := directory.ByKey(key)
		require.True(t, ok, key)
		require.Equal(t, name, found.Name)
	}
	for _, key := range []string{"", "One", "one "} {
		_, ok := directory.ByKey(key)
		require.False(t, ok, key)
	}
	require.Equal(t, 5.0, directory.Limit("payroll").Rate)
	require.False(t, directory.Limit("nobody").Limited())
	require.NotContains(t, account.DigestOf("one").String(), "one")
}

func TestNewRejectsInvalidLists(t *testing.T) {
	named := func(name string, keys ...string) account.Entry {
		return account.Entry{Account: account.Account{Name: name}, Keys: keys}
	}
	negative := named("payroll")
	negative.Limit.Rate = -1
	for name, test := range map[string]struct {
		entries []account.Entry
		says    string
	}{
		"no name":                  {[]account.Entry{named("", "secret")}, "no name"},
		"an account twice":         {[]account.Entry{named("payroll"), named("payroll")}, "account payroll stands twice"},
		"an empty key":             {[]account.Entry{named("payroll", "")}, "a key is empty"},
		"a key of two accounts":    {[]account.Entry{named("payroll", "secret"), named("trustees", "secret")}, "of account payroll and of account trustees"},
		"a limit that is negative": {[]account.Entry{negative}, "a limit is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := account.New(test.entries)
			require.ErrorContains(t, err, test.says)
			require.NotContains(t, err.Error(), "secret")
		})
	}
}

func TestCost(t *testing.T) {
	tokens := account.Limit{Unit: account.Tokens, Rate: 1, DefaultCost: 200}
	require.Equal(t, 1460.0, tokens.Cost(1460))
	require.Equal(t, 200.0, tokens.Cost(0))
	require.Equal(t, 1.0, account.Limit{Rate: 1, DefaultCost: 200}.Cost(1460))
}
