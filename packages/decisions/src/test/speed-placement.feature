Feature: placement by the speeds of engines

  Scenario: engines of equal speed
    Guards against other decisions where no engine is slower than the others.
    Then requests are ranked in the order of the costs without speeds
    And weighted homes of equal weight are those of the unweighted order

  Scenario: homes of adapters follow the speeds
    Guards against slow engines that are home to as many adapters as fast ones, and against loads of adapters whose engines did not change.
    Then each engine is the first home of a share of the adapters by its weight
    And a change of one engine's weight moves only adapters to it or from it
    And the smallest and the largest hashes give scores in their order

  Scenario: an engine that is 2.4 times slower
    Guards against requests that wait for a slow engine to read their prompts while a fast one is free.
    Then a home that is slow is left for a fast one that had the adapter lately
    But a rarely used adapter gets no second copy for the speed of its home
    And a popular adapter has homes enough to make up for the slow ones

  Scenario: an engine that is faster than the others
    Guards against all requests going to one fast engine until its batch is full.
    Then requests go to an engine of twice the speed until it has about twice the requests of the others

  Scenario: engines that slow down under load
    Guards against speeds and homes that change back and forth, each time with loads: an engine with fewer requests looks faster and gets more.
    Then the speeds of all engines settle within 10 rounds of measurements and stay
