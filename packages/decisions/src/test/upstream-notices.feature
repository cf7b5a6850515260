Feature: what an upstream has said of itself

  Scenario: answers that overtake each other
    Guards against a limit that is dropped by an answer which was on its way before the limit was named, or kept after it has ended.
    Then what is known agrees with a naive record of all answers, whatever their order
