Feature: usage limits across all entries

  Scenario: organisations within their limits
    Symptom: an organisation gets 429 below its limit.
    Events: callers keep their connections, so most requests of an organisation arrive at few of 22 entries.
    Cause: each entry has an equal part of the limit, most of which stays unused.
    Of the units that a single bucket admits, equal parts admit 68 in 100, and none of an organisation whose requests are larger than a part; with credit granted by an allocator all are admitted.
    Then with an allocator at most 2 in 100 units are refused within the limit, with equal parts over 25

  Scenario: an organisation that requests several times its limit
    Then use stays within the limit in every window, and over 90 in 100 units of what it allows are used

  Scenario: an organisation that requests a tenth more than its rate all the time
    Symptom: an organisation gets 429 now and then, though it never uses all that a window allows.
    Events: it requests a little more than its rate; its burst is used up in the first seconds.
    Cause: the burst can only be used at once, and refills only while less than the rate is requested.
    If the burst is granted at once, 97 in 100 units are admitted; spread over the window, all.
    Then at least 99 in 100 units are admitted, and use stays within the limit in every window

  Scenario: entries that are cut off or restart, allocators among them
    Symptom: an organisation uses twice its limit.
    Events: the entry that allocates its usage is cut off while others go on; entries restart.
    Cause: two entries allocate the usage of one organisation, and each grants all of it.
    Then use stays within the limit in every window, whichever entries are cut off or restart

  Scenario: an entry that is cut off from many others
    Symptom: requests with API keys get no answer for seconds, and then miss their deadline.
    Events: one of 40 entries is cut off from all others.
    Cause: it asks the possible allocators one after the other, 150 ms each, while its callers wait.
    Then at an entry that is cut off from 39 other entries, no request waits for longer than 1200 ms, and use stays within the limit in every window
    And at least 9 in 10 units of its requests are admitted, if they are less than its equal part

  Scenario: upstreams with low request limits, and entries cut off or restarted among many
    Guards against more requests than an upstream's limit allows across all entries, and against leaving most of a limit unused.
    Then 30 entries send an upstream at most what its limit allows in 4 s, and over 90 in 100 of its limit, whatever limit it names
    And 6 entries send it at most what its limit allows in 4 s, whichever of them are cut off or restart

  Scenario: entries that are gone from each other's lists for a while
    Guards against each entry granting itself the whole of a limit, after their leases in the store have lapsed.
    Then use stays within the limits of an upstream and an organisation in every window, while each entry lists only itself for 1500 ms

  Scenario: entries that start while lists hold no other entry
    Guards against a newly started entry granting itself the whole of a limit, because it does not know the other entries yet.
    Then use stays within the limits of an upstream and an organisation in every window, while entries start in 1500 ms in which each entry lists only itself

  Scenario: an allocator that has started and has no configuration yet
    Guards against requests beyond a limit, because an allocator without a configuration leaves out every account, as if none had a limit.
    Then use stays within the limits of an upstream and an organisation in every window, whichever entry starts and has no configuration for 900 ms

  Scenario: entries that report to several allocators by turns
    Guards against use beyond a limit, because each allocator keeps the full credit of entries that report to others too.
    Then use stays within the limit in every window, while 4 in 10 messages among 3 entries are refused
    And use stays within the limit in every window, whichever of 2 to 10 entries answer, restart, or are missing in lists
    And without faults, at least 178 of the 197 requests are used that a window allows

  Scenario: a request whose caller does not wait as long as others wait for credit
    Guards against a request that is held past its route's timeout, since it waits for credit of an allocator that does not answer.
    When a request with 300 ms left waits for credit of an allocator that does not answer
    Then it is refused after 300 ms

  Scenario: an organisation that the allocator does not know yet
    Symptom: callers of a newly added organisation get 429 for a second, and entries send each other requests in a loop.
    Events: an organisation is added with a limit; the allocating entry learns of it a second after the others.
    Cause: a report without a reply is sent again at once.
    When an organisation is known to an entry, and not yet to its allocator
    Then its first 20 requests are admitted, with 3 messages at most

  Scenario: entries that answer but do not allocate
    Guards against a report that is passed from entry to entry without an end, also by an entry that has stopped.
    When none of 9 possible allocators accepts reports, though all answer, and the entry stops after 3000 ms
    Then each got 3 reports at most, and none from then on

  Scenario: messages of another version
    Then whatever a peer reports or grants is read as finite, non-negative amounts, or ignored

  Scenario: the retry-after of a refusal
    Guards against a retry-after so short that the caller is refused again.
    Then a caller refused for the limit of an upstream or an organisation gets a retry-after of 100 ms or more

  Scenario: credit by priority
    Guards against urgent requests that are refused for lack of credit while less urgent ones, which came a moment earlier, get it.
    Then requests that wait for credit get it by priority, and those of one priority in the order in which they came
