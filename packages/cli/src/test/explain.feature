Feature: a failed request is explained from logs alone
  The lines are of the kind that entries write.

  Scenario: a booking whose answer was lost
    Given logs of two entries, in which a booking's answer was lost
    When the booking is explained
    Then it says that it may have run and was not sent again, with the upstream and the broken connection

  Scenario: a draft whose adapter did not come
    Given logs of two entries, in which a draft was refused for its adapter
    When the draft is explained
    Then it says that it did not run, and shows the holder that did not answer

  Scenario: a request whose entry was killed
    Given logs of two entries, in which a request has no end
    When that request is explained
    Then it says that its entry was killed or its log ends too soon

  Scenario: a request that no log names
    When a request that no log names is explained
    Then it says where its lines may be
