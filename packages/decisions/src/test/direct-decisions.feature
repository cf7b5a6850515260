Feature: routes, budgets, health and placement of an entry that sends directly

  Scenario: the longest prefix decides, and a split keeps its weights
    Then for any set of routes the longest matching prefix of the host is chosen
    And a split of 90 to 10 sends about a tenth to the smaller service, and a request always the same way

  Scenario: entries that can't ask each other stay within a shared budget together
    The remaining upstreams receive several times their load after an availability zone has failed. This happens when each
    entry retries every failed request within a budget that is meant for all entries together.
    Then for any arrivals at 5 entries all retries in any window stay within the shared budget

  Scenario: an upstream that fails is ejected, one that answers with a few errors of its own is not
    Then two lost answers in a row eject an upstream, and it is readmitted
    And one error in seven answers ejects no upstream
    And an upstream that fails half of its requests is ejected
    And an upstream that refuses a request and never ends the refusal is ejected

  Scenario: requests for an adapter go to its home until the home is overloaded
    Every engine loads every adapter, and the weight store's rate is spent on copies. This happens when requests for an
    adapter go to the engine with the fewest requests, as if a copy there cost nothing.
    Then a request for an adapter goes to its home although other engines have fewer requests
    And a request for an adapter leaves its home when the wait there is longer than a load elsewhere
    And the most popular adapter has more homes than others

  Scenario: engines with few adapter slots
    Requests wait for an adapter slot in every engine while a third of the slots hold second copies. This happens when the
    popularity from which an adapter has a second home does not depend on the number of slots: with eight engines of six
    slots and three thousand adapters of the usual popularity.
    Then further homes take at most a quarter of the slots, where these are few as where they are many

  Scenario: popularity at one of many entries
    Every rarely requested adapter is loaded on two engines. This happens when an entry receives so few of all requests that
    a single one makes its adapter look popular.
    Then an adapter that an entry has seen requested once has one home, however few requests the entry receives
    But one that is requested for a tenth of the time has more homes at each of 30 entries

  Scenario: a copy away from home
    Most of the rarely requested adapters are loaded on two engines, and the weight store's rate is spent on the second
    copies. This happens when the home's slots are all in use, another engine loads the adapter, and seconds later the next
    request goes home again, as its entry knows only of copies that were reserved for it within the last 300 ms.
    Then a request for an adapter goes where it was loaded recently, and not home for a second copy
    But a further home of a popular adapter is used as soon as the first one has more requests

  Scenario: long prompts arrive together
    Every stream of one engine pauses for half a second while other engines are idle. This happens when several long
    prompts arrive within 100 ms and go to the engine with the fewest requests, whatever prompts it has yet to read.
    Then a long prompt goes where no other prompt is being read
