Feature: measured speed of engines
  The load of a deployment in which every engine is slow for moments: 600 ms of 4 s take 2.5 times as long. Streams have 36
  events, each engine ends two to three of them in a second, and 10 entries relay them; 3 of these are on busy hosts and read
  events each 40 ms. Prompts of other streams are read between two events for a fifth of the time. Speeds are relative to the others of the service.

  Scenario: a third of the engines is slow
    Guards against an engine that is sent more prompts than it can read, since it is taken to be as fast as the others.
    Given engines that take 1, 1 and 2.4 times as long, four of each
    When they run streams for 30 s
    Then the speeds of the first eight are exactly 1, and those of the others between 0.36 and 0.46
    And each is known within 9 s, and changes once at most

  Scenario: engines that are alike
    Guards against homes of adapters that move, and adapters that are loaded again, when engines are slow for moments alone.
    Given engines that take 1 time as long, twelve of them
    When they run streams for 60 s
    Then all speeds are exactly 1 and none has changed

  Scenario: engines that are alike, of which one reads prompts for half of the time
    Guards against an engine that counts as slow because it is popular.
    Given engines that take 1 time as long, twelve of them, and the first reads prompts for 50 in 100 of the time
    When they run streams for 60 s
    Then all speeds are exactly 1 and none has changed

  Scenario: a single engine
    Guards against an engine without others that is compared with nothing.
    Given engines that take 2.4 times as long, one of them
    When they run streams for 120 s
    Then all speeds are exactly 1 and none has changed

  Scenario: streams that something else than their engine delays
    Guards against engines that count as slow because a caller reads slowly or a link is cut.
    Then a stream that was paused or stalled has no pace, nor has one of less than 8 events, and one whose events come together was read late

  Scenario: an engine without streams
    Then its speed is not known, and counts as 1

  Scenario: a slow engine that gets no more streams
    Guards against an engine that counts as fast again because it was spared.
    Then it keeps its speed, and its age shows when it was measured

  Scenario: samples that are wrong by ten
    Guards against one entry on a stalled host, or with a wrong clock, that decides the speed of an engine.
    Then a quarter of the samples that are wrong by ten either way changes no speed
    And if all of them are, speeds stay between 0.2 and 4

  Scenario: a speed that is known from the former holder
    Guards against a slow engine that is sent too many prompts after each change of its holder.
    Then it stays until there are enough samples, and then follows them

  Scenario: a speed at which two neighbouring values fit
    Guards against speeds that change to and fro, each time with loads of adapters.
    Then a speed changes at most once while the pace varies by a tenth
