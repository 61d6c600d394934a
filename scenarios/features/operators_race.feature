Feature: Operators who race are told so

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: Two operators change the same service at once
    When two operators set the slots of suivi to 7 and 5 at once
    Then one change is accepted and one is told of the conflict
    And the slots stored are those of the accepted change
    And the audit trail has one accepted and one refused change of suivi

  Scenario: An operator with an old copy
    Given an operator who read service suivi before it was changed
    When the operator applies the old copy with other slots
    Then the command ends with exit code 3
