Feature: engines of different speeds

  Scenario: a third of the engines takes 2.4 times as long
    Symptom: 12 to 18 in 100 streams begin late or stand still for more than 300 ms, though other engines are half empty.
    Events: 30 entries send 220 or 300 streams a second to 39 engines of 32 batch slots, 13 of which take 2.4 times as long for everything.
    Cause: entries take all engines for equal, so that slow ones are home to as many adapters as fast ones and hold each stream longer.
    Guards against placement that does not know or does not use the speeds.
    Then with known speeds at most half as many streams are late at 220 a second, and a quarter fewer at 300 a second
    And no more adapters are loaded for it than one in twenty
    And weights by the square of the speed leave fewer streams late than equal weights

  Scenario: engines of equal speeds
    Guards against other placements where all engines are alike.
    Then known speeds change nothing

  Scenario: one engine is faster than the others
    Guards against entries that all send to the fast engine before they learn of each other's requests.
    Then its streams are on time as often as those of the others
