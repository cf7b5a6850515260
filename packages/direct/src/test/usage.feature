Feature: usage limits over all entries

  Scenario: organisations within their limits
    Symptom: an organisation gets 429 below its limit.
    Events: callers keep their connections, so that most requests of an organisation come to few of 22 entries.
    Cause: each entry had an equal part of the limit, most of which lay unused.
    Of what one bucket had let in, equal parts let in 68 in 100, and none of an organisation whose requests are larger than a part; with credit lent by a keeper all.
    Then with a keeper at most 2 in 100 units are refused below the limit, with equal parts over 25

  Scenario: an organisation that asks for several times its limit
    Then in no window more is used than its limit allows, and over 90 in 100 units of what it allows are

  Scenario: an organisation that asks for a tenth more than its rate all the time
    Symptom: an organisation gets 429 now and then, though in no window it has used what it may.
    Events: it asks for a little more than its rate; its burst is used up in the first seconds.
    Cause: the burst could be used at once only, and came back only while less than the rate was asked for.
    Lent at once, 97 in 100 units are let in; spread over the window, all.
    Then at least 99 in 100 units are let in, and in no window more is used than its limit allows

  Scenario: entries that are cut off or start again, keepers among them
    Symptom: an organisation uses twice its limit.
    Events: the entry that counts it is cut off, others go on; entries start again.
    Cause: two entries counted the same organisation, and each lent all of it.
    Then in no window more is used than its limit allows, whatever is cut off or starts again

  Scenario: an entry that is cut off from many others
    Symptom: requests with keys get no answer for seconds, and then none in time.
    Events: one of 40 entries is cut off from all others.
    Cause: it asked one after the other who might count, 150 ms each, while its callers waited.
    Then at an entry that is cut off from 39 others, no request waits for longer than 1200 ms, and in no window more is used than its limit allows
    And at least 9 in 10 units are let in that it asks for, if they are less than its part

  Scenario: upstreams that take few requests, entries cut off or started again among many
    Guards against more requests than an upstream's limit allows over all entries, and against a limit of which most lies unused.
    Then of 30 entries' requests an upstream gets at most what 4 s allow, and over 90 in 100 of its limit, whatever it names
    And of 6 entries' requests it gets at most what 4 s allow, whatever is cut off or starts again

  Scenario: entries that are gone from each other's lists for a while
    Guards against each entry lending itself the whole of a limit, when the store has let their leases lapse.
    Then in no window more is used than the limits of an upstream and an organisation allow, while lists hold one entry each for 1500 ms

  Scenario: entries that start while lists hold nobody else
    Guards against an entry that has just started lending itself the whole of a limit, since it knows of nobody yet.
    Then in no window more is used than the limits of an upstream and an organisation allow, while entries start in 1500 ms in which lists hold one entry each

  Scenario: an organisation that the counting entry does not know yet
    Symptom: callers of an organisation that was just added get 429 for a second, and entries ask each other in a loop.
    Events: an organisation is added with a limit; the entry that counts hears of it a second after the others.
    Cause: what the counting entry did not answer was asked again at once.
    When an organisation is known to an entry, and not yet to the one that counts
    Then its first 20 requests are let in, with 3 messages at most

  Scenario: entries that answer, and do not count
    Guards against a report that goes round without an end, also at an entry that has ended.
    When none of 9 entries that should count takes reports, though all answer, and the entry ends after 3000 ms
    Then each was asked 3 times at most, and none from then on

  Scenario: what another version tells
    Then whatever a peer reports or lends is amounts that can be counted, or nothing

  Scenario: when to come back after a refusal
    Guards against callers who are told to come back at once, and are refused again.
    Then whoever is refused for the limit of an upstream or an organisation is told to come back after 100 ms or later
