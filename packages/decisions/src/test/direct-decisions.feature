Feature: routes, budgets, health and placement of an entry that sends directly

  Scenario: the longest prefix decides, and a split keeps its weights
    Then for any set of routes the longest matching prefix of the host is chosen
    And a split of 90 to 10 sends about a tenth to the smaller service, and a request always the same way

  Scenario: entries that can't ask each other keep a shared budget together
    Symptom: when a zone fails, the upstreams that are left receive several times their load.
    Events: every request of every entry fails and is repeated as often as its entry allows.
    Cause: each entry used a budget that is meant for all of them.
    Then for any arrivals at 5 entries all repeats in any window keep within the shared budget

  Scenario: an upstream that fails is left alone, one that answers with a few errors of its own is not
    Then two lost answers in a row eject an upstream, and it is let back
    And one error in seven answers ejects nobody
    And an upstream that fails half of its requests is ejected

  Scenario: adapters stay at home until home is crowded
    Symptom: every engine loads every adapter, and the weight store's rate is spent on copies.
    Events: requests for an adapter are sent to whichever engine has the fewest requests.
    Cause: a copy elsewhere was thought to cost nothing.
    Then a request for an adapter goes to its home although other engines have less to do
    And a request for an adapter leaves its home when the wait there is longer than a load elsewhere
    And the hottest adapter has more homes than others

  Scenario: engines with few slots
    Symptom: requests wait for a slot in every engine, while a third of the slots hold second copies.
    Events: eight engines of six slots, three thousand adapters of the usual popularity.
    Cause: what made an adapter worth a second home did not depend on how many slots there are.
    Then further homes take at most a quarter of the slots, where these are few as where they are many

  Scenario: a copy away from home
    Symptom: of adapters that are asked for now and then, most stand in two engines, and the weight store's rate is spent on the second copies.
    Events: the home's slots are all in use and another engine loads the adapter; seconds later the next request finds room at home.
    Cause: an entry knew only of copies that it had been promised within the last 300 ms.
    Then a request for an adapter goes where it was held lately, and not home for a second copy
    But a further home of a hot adapter is used as soon as the first one has more to do

  Scenario: long prompts come together
    Symptom: every stream of one engine pauses for half a second while the others idle.
    Events: several long prompts arrive within 100 ms and are sent to the engine with the fewest requests.
    Cause: requests were counted, not the prompts that the engine has yet to read.
    Then a long prompt goes where no other prompt is being read
